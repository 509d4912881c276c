#ifndef KINGCUPDRIFT_NET_INTERNAL_TIMER_QUEUE_H_
#define KINGCUPDRIFT_NET_INTERNAL_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Callbacks by the time at which they are due; those due at the same time are
/// in order of addition.
class TimerQueue {
 public:
  using Key = std::pair<MonotonicTime, std::uint64_t>;

  Key Add(MonotonicTime due, std::function<void()> callback);
  /// Does nothing if the timer has run.
  void Remove(const Key& key) { callbacks_.erase(key); }

  /// Removes all timers. Their callbacks may own other timers of the queue.
  void Clear();

  std::optional<MonotonicTime> GetNextDue() const;
  /// The timers due at `now`, in order.
  std::vector<Key> FindDue(MonotonicTime now) const;
  /// Removes a timer and calls its callback; does nothing if it was removed.
  void Run(const Key& key);

 private:
  std::map<Key, std::function<void()>> callbacks_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_TIMER_QUEUE_H_
