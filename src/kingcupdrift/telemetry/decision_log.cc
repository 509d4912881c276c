#include "kingcupdrift/telemetry/decision_log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <iterator>
#include <utility>

namespace kingcupdrift {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);
// A writable pipe accepts a write of up to this size as a whole.
constexpr std::size_t kPipeBytes = 4096;

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" =\"\n\t\\") != value.npos;
}

void AppendQuoted(std::string& out, std::string_view value) {
  out += '"';
  for (const char it : value) {
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += it == '\n' ? ' ' : it;
  }
  out += '"';
}

}  // namespace

DecisionLog::Line::Line(DecisionLog& log,
                        std::string_view part,
                        std::string_view event)
    : log_(log) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      log.clock_.WallNow());
  text_ = fmt::format("time={:%FT%T}Z part={} event={}", now, part, event);
}

DecisionLog::Line::~Line() {
  text_ += '\n';
  log_.Append(text_);
}

DecisionLog::Line& DecisionLog::Line::Text(std::string_view name,
                                           std::string_view value) {
  text_ += ' ';
  text_ += name;
  text_ += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(text_, value);
  } else {
    text_ += value;
  }
  return *this;
}

DecisionLog::Line& DecisionLog::Line::Number(std::string_view name,
                                             std::int64_t value) {
  fmt::format_to(std::back_inserter(text_), " {}={}", name, value);
  return *this;
}

DecisionLog::Line& DecisionLog::Line::Milliseconds(std::string_view name,
                                                   Duration value) {
  const double ms = std::chrono::duration<double, std::milli>(value).count();
  fmt::format_to(std::back_inserter(text_), " {}_ms={:.1f}", name, ms);
  return *this;
}

DecisionLog::DecisionLog(Clock& clock, Output output)
    : clock_(clock), output_(std::move(output)) {}

DecisionLog::~DecisionLog() {
  Flush();
}

void DecisionLog::Append(const std::string& text) {
  const MonotonicTime now = clock_.Now();
  if (now - window_start_ >= kRateWindow) {
    window_start_ = now;
    window_bytes_ = 0;
  }
  if (window_bytes_ + text.size() > kMaxBytesPerSecond) {
    ++unreported_dropped_lines_;
    ++total_dropped_lines_;
    return;
  }
  window_bytes_ += text.size();
  pending_ += text;
  if (!flush_timer_) {
    flush_timer_ = clock_.RunAfter(kFlushDelay, [this] { Flush(); });
  }
}

void DecisionLog::Flush() {
  flush_timer_.reset();
  if (unreported_dropped_lines_ > 0) {
    pending_ += fmt::format("part=log event=dropped lines={}\n",
                            unreported_dropped_lines_);
    unreported_dropped_lines_ = 0;
  }
  const std::size_t taken = output_(pending_);
  if (taken < pending_.size()) {
    // All text not yet written is dropped, later lines too, since the rest of
    // a cut line would not be readable. The next write continues the cut line.
    ++unreported_dropped_lines_;
    ++total_dropped_lines_;
  }
  pending_.clear();
}

DecisionLog::Output MakeStandardOutput() {
  return [](std::string_view bytes) {
    std::size_t taken = 0;
    while (taken < bytes.size()) {
      pollfd out{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
        return taken;
      }
      const std::size_t size = std::min(kPipeBytes, bytes.size() - taken);
      const ssize_t n = write(STDOUT_FILENO, bytes.data() + taken, size);
      if (n <= 0) {
        return taken;
      }
      taken += static_cast<std::size_t>(n);
    }
    return taken;
  };
}

}  // namespace kingcupdrift
