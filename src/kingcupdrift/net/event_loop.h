#ifndef KINGCUPDRIFT_NET_EVENT_LOOP_H_
#define KINGCUPDRIFT_NET_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"

struct event_base;

namespace kingcupdrift {

/// A single-threaded event loop; a process has one. Each iteration handles
/// sockets, then posted tasks, then timers. A timer that is late, as after a
/// stop of the process, runs only after the bytes that wait in the sockets were
/// handled, for a bounded time, so that its callback does not take them for
/// missing.
class EventLoop {
 public:
  using TimeSource = std::function<MonotonicTime()>;

  /// Makes the process ignore SIGPIPE. Aborts the process if libevent cannot
  /// create a loop. `now` is the time of the timers; the loop's waits follow
  /// the system's clock.
  explicit EventLoop(TimeSource now = &GetSystemTime);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Dispatches events until `Stop`.
  void Run();
  /// Runs one iteration; waits for its first event.
  void RunIteration();
  /// Makes `Run` return after the running callback; the iteration's other
  /// events stay pending. Has no effect before `Run`, nor on `RunUntil`.
  void Stop();
  /// Dispatches events until `is_done` returns true; false if `limit` passes
  /// first.
  bool RunUntil(const std::function<bool()>& is_done, Duration limit);

  /// Calls `task` once, in a later iteration of the loop.
  void Post(std::function<void()> task);
  /// Calls `callback` once, `delay` from now, unless the timer is destroyed
  /// before. Without a delay it counts as a posted task. The loop must outlive
  /// the timer.
  [[nodiscard]] std::unique_ptr<Timer> RunAfter(Duration delay,
                                                std::function<void()> callback);
  MonotonicTime Now() const;
  /// Calls `handler` on the loop whenever the process receives `signal`.
  void AddSignalHandler(int signal, std::function<void()> handler);

  /// CPU time of the loop iteration that used most, since the start or the last
  /// reset.
  Duration GetMaxIterationCpuTime() const;
  void ResetMaxIterationCpuTime();

  /// The loop's libevent object.
  event_base* base() const;

  /// The system's monotonic clock.
  static MonotonicTime GetSystemTime();

 private:
  struct Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_EVENT_LOOP_H_
