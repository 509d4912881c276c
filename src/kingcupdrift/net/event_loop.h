#ifndef KINGCUPDRIFT_NET_EVENT_LOOP_H_
#define KINGCUPDRIFT_NET_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"

struct event_base;

namespace kingcupdrift {

/// The process's one event loop, on one thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Dispatches events until `Stop`.
  void Run();
  /// Makes `Run` return after the current turn.
  void Stop();
  /// Dispatches until `is_done` holds; false if `limit` passes first.
  bool RunUntil(const std::function<bool()>& is_done, Duration limit);

  /// Calls `task` once, on a later turn of the loop.
  void Post(std::function<void()> task);
  /// Calls `handler` on the loop whenever the process gets `signal`.
  void AddSignalHandler(int signal, std::function<void()> handler);

  /// Longest processor time that one turn's callbacks held the loop, since the
  /// start or the last reset.
  Duration GetMaxIterationCpuTime() const;
  void ResetMaxIterationCpuTime();

  /// The libevent object behind the loop.
  event_base* base() const;

 private:
  struct Impl;
  void RunIteration();

  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_EVENT_LOOP_H_
