#ifndef KINGCUPDRIFT_TELEMETRY_DECISION_LOG_H_
#define KINGCUPDRIFT_TELEMETRY_DECISION_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Structured lines "time=... part=... event=... name=value ..." about
/// decisions. Lines are gathered and written together, at most
/// `kMaxBytesPerSecond`; what exceeds that, or what the output does not take at
/// once, is dropped and counted in a later line.
class DecisionLog {
 public:
  /// Writes without blocking; returns how many bytes were taken.
  using Output = std::function<std::size_t(std::string_view bytes)>;

  DecisionLog(Clock& clock, Output output);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /// One line in the making. It is added when it goes out of scope.
  class Line {
   public:
    Line(DecisionLog& log, std::string_view part, std::string_view event);
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    Line& Text(std::string_view name, std::string_view value);
    Line& Number(std::string_view name, std::int64_t value);
    Line& Milliseconds(std::string_view name, Duration value);

   private:
    DecisionLog& log_;
    std::string text_;
  };

  Line Add(std::string_view part, std::string_view event) {
    return {*this, part, event};
  }
  void Flush();

  std::uint64_t dropped() const { return total_dropped_lines_; }

  /// About a hundred lines a second: enough for one entry's share of requests
  /// at the planned size, and small against its link.
  static constexpr std::size_t kMaxBytesPerSecond = 16'000;
  /// Lines are written this long after the first one.
  static constexpr Duration kFlushDelay = std::chrono::milliseconds(200);

 private:
  void Append(const std::string& text);

  Clock& clock_;
  Output output_;
  std::string pending_;
  MonotonicTime window_start_{};
  std::size_t window_bytes_ = 0;
  std::uint64_t unreported_dropped_lines_ = 0;
  std::uint64_t total_dropped_lines_ = 0;
  std::unique_ptr<Timer> flush_timer_;
};

/// Writes to standard output as far as it can without blocking.
DecisionLog::Output MakeStandardOutput();

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_TELEMETRY_DECISION_LOG_H_
