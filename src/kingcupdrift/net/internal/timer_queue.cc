#include "kingcupdrift/net/internal/timer_queue.h"

namespace kingcupdrift {

TimerQueue::Key TimerQueue::Add(MonotonicTime due,
                                std::function<void()> callback) {
  const Key key(due, next_sequence_++);
  callbacks_.emplace(key, std::move(callback));
  return key;
}

void TimerQueue::Clear() {
  while (!callbacks_.empty()) {
    const auto removed = std::exchange(callbacks_, {});
  }
}

std::optional<MonotonicTime> TimerQueue::GetNextDue() const {
  if (callbacks_.empty()) {
    return std::nullopt;
  }
  return callbacks_.begin()->first.first;
}

std::vector<TimerQueue::Key> TimerQueue::FindDue(MonotonicTime now) const {
  std::vector<Key> out;
  for (const auto& it : callbacks_) {
    if (it.first.first > now) {
      break;
    }
    out.push_back(it.first);
  }
  return out;
}

void TimerQueue::Run(const Key& key) {
  // The callback may add and remove timers.
  const auto timer = callbacks_.extract(key);
  if (!timer.empty()) {
    timer.mapped()();
  }
}

}  // namespace kingcupdrift
