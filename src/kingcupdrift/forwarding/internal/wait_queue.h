#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A request that waits for capacity at its targets.
class Waiter {
 public:
  virtual ~Waiter() = default;
  /// Tries to send the request; false if it must wait longer. May end it.
  virtual bool TryResume() = 0;
};

/// Waiting requests, tried in the order of their work, shortest first. Capacity
/// may become free without a message to this entry (the serving process), so
/// requests also try at intervals.
class WaitQueue {
 public:
  explicit WaitQueue(Clock& clock) : clock_(clock) {}

  /// Adds a request, or moves it to the end of those with equal work. `work` is
  /// its predicted prefill time; zero for requests without a prompt and at
  /// services without an engine timing.
  void Add(Waiter& waiter, Duration work);
  void Remove(Waiter& waiter);
  /// Lets the waiting requests try in a later turn of the event loop.
  void Wake();
  std::size_t size() const { return waiters_.size(); }

  /// Interval between tries; short compared with the target latency of any
  /// route.
  static constexpr Duration kInterval = std::chrono::milliseconds(15);

 private:
  using Key = std::pair<Duration, std::uint64_t>;

  void Schedule(Duration delay);
  void Run();

  Clock& clock_;
  std::map<Key, Waiter*> waiters_;
  std::map<Waiter*, Key> keys_;
  std::uint64_t next_number_ = 0;
  bool is_woken_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_
