#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_GATEWAY_METRICS_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_GATEWAY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/platform_store.h"

namespace kingcupdrift {

/// Figures about an entry (serving process) and its copy of the store.
struct GatewayMetrics {
  /// Listed entries, this one included.
  std::size_t entries = 0;
  StorePosition store_position;
  /// Eras that began while this entry had a copy of the store.
  std::int64_t store_restores = 0;
  bool is_store_reader = false;
  bool is_first_reader = false;
  bool is_serving = false;
  /// Answers to peers that asked for this entry's copy, and the bytes of values
  /// in them.
  std::int64_t copies_sent = 0;
  std::size_t copy_bytes_sent = 0;
  /// Such answers that were replaced by a notice, to keep the link free.
  std::int64_t copies_withheld = 0;
  StoreReadFaults store_read_faults;
  /// Records of targets and entries that were read and can't be used.
  std::int64_t rejected_records = 0;
};

/// In the Prometheus text format.
std::string FormatGatewayMetrics(const GatewayMetrics& metrics);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_GATEWAY_METRICS_H_
