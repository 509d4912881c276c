#include "kingcupdrift/forwarding/internal/forwarding_metrics.h"

#include <algorithm>
#include <cstdint>
#include <vector>

#include "kingcupdrift/forwarding/work_key.h"

namespace kingcupdrift {

std::string FormatForwardingMetrics(const ForwardContext& context,
                                    std::size_t requests_in_progress) {
  std::string out = "# TYPE kingcupdrift_forwarded_total counter\n";
  for (const auto& [outcome, count] : context.outcomes) {
    out += "kingcupdrift_forwarded_total{outcome=\"" + outcome + "\"} " +
           std::to_string(count) + "\n";
  }
  const auto add_gauge = [&out](const std::string& name, std::size_t value) {
    out += "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) +
           "\n";
  };
  add_gauge("kingcupdrift_requests_in_progress", requests_in_progress);
  add_gauge("kingcupdrift_requests_waiting", context.queue.size());
  out += "# TYPE kingcupdrift_requests_waiting_by_priority gauge\n";
  for (const auto& [priority, count] : context.queue.sizes_by_priority()) {
    out += "kingcupdrift_requests_waiting_by_priority{priority=\"" +
           std::to_string(priority) + "\"} " + std::to_string(count) + "\n";
  }
  add_gauge("kingcupdrift_log_lines_dropped", context.log.dropped());
  add_gauge("kingcupdrift_targets_leaving",
            context.directory.ListLeaving().size());
  add_gauge("kingcupdrift_targets_paused", context.health.CountPaused());
  add_gauge("kingcupdrift_targets_limited",
            context.rate_limiter.CountLimited());
  add_gauge("kingcupdrift_failure_domains_evacuated",
            context.directory.evacuated().size());
  add_gauge("kingcupdrift_targets_cold", context.rate_limiter.CountCold());
  const std::vector<WorkKey> quarantined =
      context.crash_monitor.ListQuarantined();
  const auto requests = static_cast<std::size_t>(
      std::count_if(quarantined.begin(), quarantined.end(), IsRequestKey));
  add_gauge("kingcupdrift_prompt_parts_quarantined",
            quarantined.size() - requests);
  add_gauge("kingcupdrift_requests_quarantined", requests);
  add_gauge("kingcupdrift_engines_in_reach",
            context.reachability.is_cut_off() ? 0 : 1);
  add_gauge("kingcupdrift_bytes_held",
            static_cast<std::size_t>(context.buffers.held().value()));
  const auto add_counter = [&out](const std::string& name,
                                  std::uint64_t value) {
    out += "# TYPE " + name + " counter\n" + name + " " +
           std::to_string(value) + "\n";
  };
  add_counter("kingcupdrift_target_pauses_total", context.pauses);
  add_counter("kingcupdrift_less_urgent_holds_total", context.queue.holds());
  add_counter("kingcupdrift_promoted_starts_total",
              context.queue.promoted_starts());
  add_counter("kingcupdrift_refused_early_total", context.refused_early);
  add_counter("kingcupdrift_buffer_pauses_total", context.buffers.pauses());
  add_counter("kingcupdrift_buffer_aborts_total", context.buffers.aborts());
  add_counter("kingcupdrift_unfinished_answer_aborts_total",
              context.buffers.unfinished_aborts());
  add_counter("kingcupdrift_buffer_refusals_total", context.buffer_refusals);
  add_counter("kingcupdrift_requests_relayed_total", context.relayed_requests);
  add_counter("kingcupdrift_engines_found_down_total",
              context.engines_found_down);
  add_counter("kingcupdrift_attempts_interrupted_before_first_event_total",
              context.interrupted_before_first_event);
  add_counter("kingcupdrift_attempts_interrupted_in_stream_total",
              context.interrupted_streams);
  add_counter("kingcupdrift_attempts_overdue_total", context.overdue_attempts);
  add_counter("kingcupdrift_unconfirmed_refusals_total",
              context.unconfirmed_refusals);
  return out;
}

}  // namespace kingcupdrift
