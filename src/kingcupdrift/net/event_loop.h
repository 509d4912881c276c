#ifndef KINGCUPDRIFT_NET_EVENT_LOOP_H_
#define KINGCUPDRIFT_NET_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"

struct event_base;

namespace kingcupdrift {

/// A single-threaded event loop; a process has one.
class EventLoop {
 public:
  /// Makes the process ignore SIGPIPE. Aborts the process if libevent cannot
  /// create a loop.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Dispatches events until `Stop`.
  void Run();
  /// Makes `Run` return after the running callback; the iteration's other
  /// events stay pending. Has no effect before `Run`, nor on `RunUntil`.
  void Stop();
  /// Dispatches events until `is_done` returns true; false if `limit` passes
  /// first.
  bool RunUntil(const std::function<bool()>& is_done, Duration limit);

  /// Calls `task` once, in a later iteration of the loop.
  void Post(std::function<void()> task);
  /// Calls `handler` on the loop whenever the process receives `signal`.
  void AddSignalHandler(int signal, std::function<void()> handler);

  /// CPU time of the loop iteration that used most, since the start or the last
  /// reset.
  Duration GetMaxIterationCpuTime() const;
  void ResetMaxIterationCpuTime();

  /// The loop's libevent object.
  event_base* base() const;

 private:
  struct Impl;
  void RunIteration();

  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_EVENT_LOOP_H_
