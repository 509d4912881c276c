#include "kingcupdrift/forwarding/internal/gateway_metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace kingcupdrift {

std::string FormatGatewayMetrics(const GatewayMetrics& metrics) {
  std::string out;
  const auto add = [&out](std::string_view type, std::string_view name,
                          std::int64_t value) {
    fmt::format_to(std::back_inserter(out),
                   "# TYPE kingcupdrift_{0} {1}\nkingcupdrift_{0} {2}\n", name,
                   type, value);
  };
  add("gauge", "entries", static_cast<std::int64_t>(metrics.entries));
  add("gauge", "store_era", metrics.store_position.era.value());
  add("counter", "store_restores_total", metrics.store_restores);
  add("gauge", "store_reader", metrics.is_store_reader ? 1 : 0);
  add("gauge", "store_first_reader", metrics.is_first_reader ? 1 : 0);
  add("gauge", "serving", metrics.is_serving ? 1 : 0);
  add("gauge", "store_version", metrics.store_position.version.value());
  add("counter", "store_copies_sent_total", metrics.copies_sent);
  add("counter", "store_copy_bytes_sent_total",
      static_cast<std::int64_t>(metrics.copy_bytes_sent));
  add("counter", "store_copies_withheld_total", metrics.copies_withheld);
  add("counter", "store_items_unreadable_total",
      static_cast<std::int64_t>(metrics.store_read_faults.items));
  add("counter", "store_answers_unreadable_total",
      static_cast<std::int64_t>(metrics.store_read_faults.answers));
  add("counter", "store_records_rejected_total", metrics.rejected_records);
  return out;
}

}  // namespace kingcupdrift
