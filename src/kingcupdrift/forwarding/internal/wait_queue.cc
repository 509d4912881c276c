#include "kingcupdrift/forwarding/internal/wait_queue.h"

#include <vector>

namespace kingcupdrift {

void WaitQueue::Add(Waiter& waiter, Duration work) {
  Remove(waiter);
  const Key key{work, next_number_++};
  waiters_[key] = &waiter;
  keys_[&waiter] = key;
  if (!timer_) {
    Schedule(kInterval);
  }
}

void WaitQueue::Remove(Waiter& waiter) {
  const auto it = keys_.find(&waiter);
  if (it != keys_.end()) {
    waiters_.erase(it->second);
    keys_.erase(it);
  }
}

void WaitQueue::Wake() {
  if (!waiters_.empty() && !is_woken_) {
    is_woken_ = true;
    Schedule(Duration::zero());
  }
}

void WaitQueue::Schedule(Duration delay) {
  timer_ = clock_.RunAfter(delay, [this] { Run(); });
}

void WaitQueue::Run() {
  timer_.reset();
  is_woken_ = false;
  std::vector<Key> keys;
  keys.reserve(waiters_.size());
  for (const auto& [key, waiter] : waiters_) {
    keys.push_back(key);
  }
  for (const Key& key : keys) {
    // A request tried before may have ended or removed this one.
    const auto it = waiters_.find(key);
    if (it == waiters_.end()) {
      continue;
    }
    Waiter& waiter = *it->second;
    if (waiter.TryResume()) {
      Remove(waiter);
    }
  }
  if (!waiters_.empty() && !timer_) {
    Schedule(kInterval);
  }
}

}  // namespace kingcupdrift
