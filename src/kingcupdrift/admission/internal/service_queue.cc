#include "kingcupdrift/admission/internal/service_queue.h"

#include <algorithm>
#include <vector>

namespace kingcupdrift {
namespace {

/// A drain ends after the oldest requests of this many pairs of workspace and
/// priority were held or found no capacity.
constexpr int kMaxMisses = 8;
/// Minimum charge of a request, so that requests without tokens also take
/// turns.
constexpr double kMinCharge = 1;
constexpr double kMinWeight = 1e-3;

double Charge(const QueuedRequest& request) {
  const double weight = std::max(kMinWeight, request.weight);
  return std::max(kMinCharge, static_cast<double>(request.tokens.value())) /
         weight;
}

}  // namespace

void ServiceQueue::Push(std::uint64_t sequence, QueuedRequest request) {
  tokens_ += request.tokens;
  if (request.is_large) {
    large_.emplace(sequence, std::move(request));
    return;
  }
  ++small_count_;
  Level& level = levels_[request.priority];
  const WorkspaceId workspace = request.workspace;
  Flow& flow = level.flows[workspace];
  if (flow.items.empty()) {
    flow.virtual_start = std::max(flow.virtual_start, level.virtual_time);
    level.ready.emplace(flow.virtual_start, workspace);
  }
  flow.items.emplace(sequence, std::move(request));
}

QueuedRequest ServiceQueue::Take(std::uint64_t sequence,
                                 const QueuedRequest& request) {
  tokens_ -= request.tokens;
  if (request.is_large) {
    if (large_.begin()->first == sequence) {
      is_large_blocked_ = false;
    }
    return std::move(large_.extract(sequence).mapped());
  }
  --small_count_;
  Level& level = levels_[request.priority];
  Flow& flow = level.flows[request.workspace];
  auto node = flow.items.extract(sequence);
  if (flow.items.empty()) {
    level.ready.erase({flow.virtual_start, request.workspace});
  }
  return std::move(node.mapped());
}

void ServiceQueue::Drain(MonotonicTime now,
                         const TryDispatch& try_dispatch,
                         const DispatchedCallback& on_dispatched) {
  OfferLarge(now, try_dispatch, on_dispatched);
  DrainSmall(now, try_dispatch, on_dispatched);
  while (small_count_ == 0 && OfferLarge(now, try_dispatch, on_dispatched) ==
                                  OfferResult::kDispatched) {
  }
}

bool ServiceQueue::CanStartLarge() const {
  return small_count_ == 0 ||
         starts_since_large_ >= FairQueue::kStartsPerLargeStart - 1;
}

ServiceQueue::OfferResult ServiceQueue::OfferLarge(
    MonotonicTime now,
    const TryDispatch& try_dispatch,
    const DispatchedCallback& on_dispatched) {
  if (large_.empty() || !CanStartLarge()) {
    return OfferResult::kNothing;
  }
  const auto head = large_.begin();
  if (try_dispatch(head->second) == DispatchResult::kNoCapacity) {
    if (!is_large_blocked_) {
      is_large_blocked_ = true;
      overtaking_ = TokenCount(0);
      hold_until_ = now;
    }
    return OfferResult::kNoCapacity;
  }
  is_large_blocked_ = false;
  starts_since_large_ = 0;
  tokens_ -= head->second.tokens;
  const QueuedRequest request = std::move(large_.extract(head).mapped());
  on_dispatched(request);
  return OfferResult::kDispatched;
}

bool ServiceQueue::IsHolding(MonotonicTime now) const {
  return is_large_blocked_ && now < hold_until_;
}

bool ServiceQueue::IsHeld(const QueuedRequest& request,
                          MonotonicTime now) const {
  return request.tokens > FairQueue::kHoldExemptTokens && IsHolding(now);
}

void ServiceQueue::CountOvertaking(const QueuedRequest& request,
                                   MonotonicTime now) {
  ++starts_since_large_;
  if (!is_large_blocked_ || IsHolding(now)) {
    return;
  }
  overtaking_ += request.tokens;
  if (overtaking_ >= FairQueue::kMaxOvertakingTokens) {
    overtaking_ = TokenCount(0);
    hold_until_ = now + FairQueue::kMaxHoldForLarge;
  }
}

void ServiceQueue::DrainSmall(MonotonicTime now,
                              const TryDispatch& try_dispatch,
                              const DispatchedCallback& on_dispatched) {
  int misses = 0;
  for (auto& [priority, level] : levels_) {
    if (!DrainLevel(level, now, try_dispatch, on_dispatched, misses)) {
      return;
    }
  }
}

bool ServiceQueue::DrainLevel(Level& level,
                              MonotonicTime now,
                              const TryDispatch& try_dispatch,
                              const DispatchedCallback& on_dispatched,
                              int& misses) {
  std::set<WorkspaceId> missed;
  auto it = level.ready.begin();
  while (it != level.ready.end()) {
    const WorkspaceId workspace = it->second;
    if (missed.contains(workspace)) {
      ++it;
      continue;
    }
    const QueuedRequest request = level.flows[workspace].items.begin()->second;
    if (IsHeld(request, now) ||
        try_dispatch(request) == DispatchResult::kNoCapacity) {
      missed.insert(workspace);
      if (++misses >= kMaxMisses) {
        return false;
      }
      ++it;
      continue;
    }
    RemoveHead(level, workspace);
    tokens_ -= request.tokens;
    on_dispatched(request);
    CountOvertaking(request, now);
    if (!is_large_blocked_) {
      OfferLarge(now, try_dispatch, on_dispatched);
    }
    it = level.ready.begin();
  }
  return true;
}

void ServiceQueue::RemoveHead(Level& level, const WorkspaceId& workspace) {
  Flow& flow = level.flows[workspace];
  const auto head = flow.items.begin();
  level.ready.erase({flow.virtual_start, workspace});
  level.virtual_time = std::max(level.virtual_time, flow.virtual_start);
  flow.virtual_start += Charge(head->second);
  flow.items.erase(head);
  --small_count_;
  if (!flow.items.empty()) {
    level.ready.emplace(flow.virtual_start, workspace);
  }
}

}  // namespace kingcupdrift
