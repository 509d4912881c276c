#ifndef KINGCUPDRIFT_BASE_CLOCK_H_
#define KINGCUPDRIFT_BASE_CLOCK_H_

#include <chrono>
#include <functional>
#include <memory>

namespace kingcupdrift {

using Duration = std::chrono::microseconds;

/// Tag of the monotonic time that `Clock::Now` returns.
struct MonotonicTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTimeline, Duration>;
};

/// A point in this process's monotonic time; means nothing in other processes.
using MonotonicTime = MonotonicTimeline::time_point;
/// A wall-clock time in microseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// A scheduled callback. Destroying the timer cancels the callback. A callback
/// may destroy its own timer; the clock keeps the callback alive until it
/// returns.
class Timer {
 public:
  virtual ~Timer() = default;
};

/// The source of all time but the time stamps of log lines. Tests substitute a
/// clock that they advance by hand.
class Clock {
 public:
  virtual ~Clock() = default;

  virtual MonotonicTime Now() const = 0;
  virtual WallTime WallNow() const = 0;

  /// Calls `callback` once, on the event loop, after `delay`. A negative delay
  /// counts as zero. The callback never runs inside this call.
  [[nodiscard]] virtual std::unique_ptr<Timer> RunAfter(
      Duration delay,
      std::function<void()> callback) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_CLOCK_H_
