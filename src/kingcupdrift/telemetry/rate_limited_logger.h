#ifndef KINGCUPDRIFT_TELEMETRY_RATE_LIMITED_LOGGER_H_
#define KINGCUPDRIFT_TELEMETRY_RATE_LIMITED_LOGGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Decides which occurrences of a repeating fault are logged: the first one,
/// then at most one per interval for each fault.
class LogThrottle {
 public:
  /// Most faults tracked. When a further one occurs, the fault whose last
  /// logged occurrence is oldest is forgotten.
  static constexpr std::size_t kMaxFaults = 64;

  LogThrottle(const Clock& clock, Duration interval)
      : clock_(clock), interval_(interval) {}

  /// Returns the number of occurrences suppressed since the last one logged, or
  /// no value if this one is suppressed too.
  std::optional<std::uint64_t> Admit(std::string_view fault);

 private:
  struct FaultState {
    MonotonicTime logged_at;
    std::uint64_t suppressed_count = 0;
  };

  void EvictOldest();

  const Clock& clock_;
  Duration interval_;
  std::map<std::string, FaultState, std::less<>> faults_;
};

/// Logs repeating faults at a limited rate. Each fault has a fixed name, by
/// which its occurrences are counted.
class RateLimitedLogger {
 public:
  static constexpr Duration kDefaultInterval = std::chrono::seconds(30);

  RateLimitedLogger(std::string_view part,
                    const Clock& clock,
                    Duration interval = kDefaultInterval)
      : logger_(part), throttle_(clock, interval) {}

  template <typename... Args>
  void Warning(std::string_view fault,
               fmt::format_string<Args...> format,
               Args&&... args) {
    Write(fault, fmt::format(format, std::forward<Args>(args)...));
  }

 private:
  void Write(std::string_view fault, const std::string& text);

  Logger logger_;
  LogThrottle throttle_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_TELEMETRY_RATE_LIMITED_LOGGER_H_
