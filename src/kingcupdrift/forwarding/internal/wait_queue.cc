#include "kingcupdrift/forwarding/internal/wait_queue.h"

#include <set>
#include <utility>

namespace kingcupdrift {

void WaitQueue::Add(Waiter& waiter, const WaitInfo& info) {
  if (const auto it = numbers_.find(&waiter); it != numbers_.end()) {
    Take(it->second);
  }
  const std::uint64_t number = next_number_++;
  waiting_[number] = info;
  waiters_[number] = &waiter;
  numbers_[&waiter] = number;
  ++sizes_by_priority_[info.priority];
  if (!timer_) {
    Schedule(kInterval);
  }
}

WaitInfo WaitQueue::Take(std::uint64_t number) {
  const auto it = waiters_.find(number);
  numbers_.erase(it->second);
  waiters_.erase(it);
  WaitInfo info = std::move(waiting_.extract(number).mapped());
  --sizes_by_priority_[info.priority];
  return info;
}

void WaitQueue::Remove(Waiter& waiter) {
  if (const auto it = numbers_.find(&waiter); it != numbers_.end()) {
    order_.CountLoss(Take(it->second));
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
  std::map<ServiceId, int> holds;
  std::set<ServiceId> held_for_aged;
  std::map<ServiceId, Duration> work_ahead;
  for (const WaitPosition& position : order_.Arrange(waiting_)) {
    // A request tried before may have ended or removed this one.
    const auto it = waiters_.find(position.number);
    if (it == waiters_.end()) {
      continue;
    }
    const ServiceId service = waiting_.at(position.number).service;
    const auto hold = holds.find(service);
    const bool may_start =
        !held_for_aged.contains(service) &&
        (hold == holds.end() || position.level <= hold->second);
    work_ahead_ = work_ahead[service];
    const bool is_over = it->second->TryResume(may_start);
    // A request that ended without a start removed itself.
    const auto waiting = waiting_.find(position.number);
    if (waiting == waiting_.end()) {
      continue;
    }
    if (is_over) {
      CountWaiterStart(position);
      continue;
    }
    const WaitInfo& info = waiting->second;
    work_ahead[service] += info.work;
    if (!may_start) {
      continue;
    }
    if (order_.IsHolding(info)) {
      holds.try_emplace(service, position.level);
    }
    if (info.can_hold && (position.is_promoted || order_.HasAged(info)) &&
        MayHoldForAged(service)) {
      held_for_aged.insert(service);
    }
  }
  work_ahead_ = Duration::zero();
  UpdateHolds(std::move(holds));
  if (!waiters_.empty() && !timer_) {
    Schedule(kInterval);
  }
}

void WaitQueue::CountWaiterStart(const WaitPosition& position) {
  const WaitInfo info = Take(position.number);
  order_.CountStart(info);
  if (position.is_promoted) {
    ++promoted_starts_;
    log_.Add("forward", "promoted")
        .Text("request", info.request.value())
        .Text("service", info.service.value())
        .Number("priority", info.priority)
        .Milliseconds("waited", clock_.Now() - info.arrival);
  }
}

bool WaitQueue::MayHoldForAged(const ServiceId& service) {
  const MonotonicTime now = clock_.Now();
  const auto [it, is_new] = aged_holds_.try_emplace(service, now);
  if (now - it->second >= kAgedHoldPeriod) {
    it->second = now;
  }
  return now - it->second < kAgedHoldTime;
}

void WaitQueue::UpdateHolds(std::map<ServiceId, int> holds) {
  for (const auto& [service, level] : holds) {
    if (!holds_by_service_.contains(service)) {
      ++holds_;
      log_.Add("forward", "hold")
          .Text("service", service.value())
          .Number("above", level)
          .Number("waiting", static_cast<std::int64_t>(waiting_.size()));
    }
  }
  holds_by_service_ = std::move(holds);
}

}  // namespace kingcupdrift
