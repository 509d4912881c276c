#ifndef KINGCUPDRIFT_TELEMETRY_DECISION_LOG_H_
#define KINGCUPDRIFT_TELEMETRY_DECISION_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Log of the serving decisions of one entry (serving process), in structured
/// lines "time=... part=... event=... name=value ...", where `part` names the
/// component. Lines are buffered and written together, at most
/// `kMaxBytesPerSecond`. Lines above that rate, and all text that the output
/// does not accept at once, are dropped. A later line, without "time=", gives
/// the number of lines dropped for the rate plus one for each incomplete write,
/// however many lines that lost.
class DecisionLog {
 public:
  /// Writes without blocking and returns the number of bytes written.
  using Output = std::function<std::size_t(std::string_view bytes)>;

  DecisionLog(Clock& clock, Output output);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /// Builds one line, which its destructor adds to the log.
  class Line {
   public:
    Line(DecisionLog& log, std::string_view part, std::string_view event);
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    Line& Text(std::string_view name, std::string_view value);
    Line& Number(std::string_view name, std::int64_t value);
    /// Adds `name`_ms with the value in milliseconds, to one decimal.
    Line& Milliseconds(std::string_view name, Duration value);

   private:
    DecisionLog& log_;
    std::string text_;
  };

  /// Returns a builder; its line is added when the builder is destroyed.
  Line Add(std::string_view part, std::string_view event) {
    return {*this, part, event};
  }
  /// Writes the buffered lines at once.
  void Flush();

  /// Lines dropped for the rate, plus one for each incomplete write.
  std::uint64_t dropped() const { return total_dropped_lines_; }

  /// Limit of the log's rate, in bytes. It allows about a hundred lines a
  /// second: enough for one entry's share of the requests at the planned system
  /// size, and a small part of its network link.
  static constexpr std::size_t kMaxBytesPerSecond = 16'000;
  /// Delay from the first buffered line to the write.
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

/// Returns an output that writes to standard output as much as it accepts
/// without blocking.
DecisionLog::Output MakeStandardOutput();

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_TELEMETRY_DECISION_LOG_H_
