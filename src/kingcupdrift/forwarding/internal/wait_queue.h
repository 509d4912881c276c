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
  virtual bool TryAgain() = 0;
};

/// Requests that wait, shortest work first. Room may come without any message
/// to this entry, so that they also try at intervals.
class WaitQueue {
 public:
  WaitQueue(Clock& clock, Random& random) : clock_(clock), random_(random) {}

  /// `work`: engine time that the request needs.
  void Add(Waiter& waiter, Duration work);
  void Remove(Waiter& waiter);
  /// Lets the waiting requests try again in a later turn. For room that this
  /// entry itself made: it is the first to know, so that room passes from one
  /// of its requests to the next. Were all entries woken by the same news, all
  /// would send to the same target before they hear of each other.
  void Wake();
  std::size_t size() const { return rows_.size(); }

  /// Pause between two tries: short against the shortest target latency of any
  /// route. Drawn anew each time, so that entries try one after another.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(5);
  static constexpr Duration kMaxInterval = std::chrono::milliseconds(25);

 private:
  using Key = std::pair<Duration, std::uint64_t>;

  void Schedule(Duration delay);
  void Run();
  Duration DrawInterval();

  Clock& clock_;
  Random& random_;
  std::map<Key, Waiter*> rows_;
  std::map<Waiter*, Key> keys_;
  std::uint64_t next_number_ = 0;
  bool is_woken_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_
