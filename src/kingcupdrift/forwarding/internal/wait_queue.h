#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A request that waits for room at its targets.
class Waiter {
 public:
  virtual ~Waiter() = default;
  /// Tries to go on; false if it must wait further. May end the request.
  virtual bool TryResume() = 0;
};

/// Requests that wait, shortest work first. Room may come without any message
/// to this entry, so that they also try at intervals.
class WaitQueue {
 public:
  explicit WaitQueue(Clock& clock) : clock_(clock) {}

  /// `work`: engine time that the request needs.
  void Add(Waiter& waiter, Duration work);
  void Remove(Waiter& waiter);
  /// Lets the waiting requests try again in a later turn.
  void Wake();
  std::size_t size() const { return waiters_.size(); }

  /// Short against the shortest target latency of any route.
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
