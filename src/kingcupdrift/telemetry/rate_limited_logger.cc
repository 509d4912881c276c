#include "kingcupdrift/telemetry/rate_limited_logger.h"

#include <algorithm>

namespace kingcupdrift {

std::optional<std::uint64_t> LogThrottle::Admit(std::string_view fault) {
  const MonotonicTime now = clock_.Now();
  const auto it = faults_.find(fault);
  if (it == faults_.end()) {
    if (faults_.size() >= kMaxFaults) {
      EvictOldest();
    }
    faults_.emplace(fault, FaultState{now});
    return 0;
  }
  FaultState& state = it->second;
  if (now - state.logged_at < interval_) {
    ++state.suppressed_count;
    return std::nullopt;
  }
  const std::uint64_t suppressed_count = state.suppressed_count;
  state = FaultState{now};
  return suppressed_count;
}

void LogThrottle::EvictOldest() {
  const auto oldest = std::min_element(
      faults_.begin(), faults_.end(), [](const auto& a, const auto& b) {
        return a.second.logged_at < b.second.logged_at;
      });
  faults_.erase(oldest);
}

void RateLimitedLogger::Write(std::string_view fault, const std::string& text) {
  const std::optional<std::uint64_t> suppressed_count = throttle_.Admit(fault);
  if (!suppressed_count) {
    return;
  }
  if (*suppressed_count == 0) {
    logger_.Warning("{}", text);
    return;
  }
  logger_.Warning("{} ({} more suppressed.)", text, *suppressed_count);
}

}  // namespace kingcupdrift
