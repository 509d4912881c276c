#include "kingcupdrift/admission/internal/service_queue.h"

#include <algorithm>
#include <vector>

namespace kingcupdrift {
namespace {

/// Requests of other workspaces that are tried after one found no room.
constexpr int kMaxMisses = 8;
/// Least charge of a request, so that ones without tokens also take turns.
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
    flow.start = std::max(flow.start, level.virtual_time);
    level.ready.emplace(flow.start, workspace);
  }
  flow.items.emplace(sequence, std::move(request));
}

QueuedRequest ServiceQueue::Take(std::uint64_t sequence,
                                 const QueuedRequest& like) {
  tokens_ -= like.tokens;
  if (like.is_large) {
    if (large_.begin()->first == sequence) {
      is_large_waiting_ = false;
    }
    return std::move(large_.extract(sequence).mapped());
  }
  --small_count_;
  Level& level = levels_[like.priority];
  Flow& flow = level.flows[like.workspace];
  auto node = flow.items.extract(sequence);
  if (flow.items.empty()) {
    level.ready.erase({flow.start, like.workspace});
  }
  return std::move(node.mapped());
}

void ServiceQueue::Drain(MonotonicTime now,
                         const TryDispatch& try_dispatch,
                         const OnLeft& on_left) {
  OfferLarge(now, try_dispatch, on_left);
  DrainSmall(now, try_dispatch, on_left);
  while (small_count_ == 0 &&
         OfferLarge(now, try_dispatch, on_left) == Offer::kDispatched) {
  }
}

bool ServiceQueue::MayStartLarge() const {
  return small_count_ == 0 || starts_since_large_ >= FairQueue::kLargeTurn - 1;
}

ServiceQueue::Offer ServiceQueue::OfferLarge(MonotonicTime now,
                                             const TryDispatch& try_dispatch,
                                             const OnLeft& on_left) {
  if (large_.empty() || !MayStartLarge()) {
    return Offer::kNothing;
  }
  const auto head = large_.begin();
  if (try_dispatch(head->second) == DispatchResult::kNoRoom) {
    if (!is_large_waiting_) {
      is_large_waiting_ = true;
      overtaking_ = TokenCount(0);
      hold_until_ = now;
    }
    return Offer::kNoRoom;
  }
  is_large_waiting_ = false;
  starts_since_large_ = 0;
  tokens_ -= head->second.tokens;
  const QueuedRequest request = std::move(large_.extract(head).mapped());
  on_left(request);
  return Offer::kDispatched;
}

bool ServiceQueue::IsHolding(MonotonicTime now) const {
  return is_large_waiting_ && now < hold_until_;
}

bool ServiceQueue::IsHeld(const QueuedRequest& request,
                          MonotonicTime now) const {
  return request.tokens > FairQueue::kNeverHeld && IsHolding(now);
}

void ServiceQueue::CountOvertaking(const QueuedRequest& request,
                                   MonotonicTime now) {
  ++starts_since_large_;
  if (!is_large_waiting_ || IsHolding(now)) {
    return;
  }
  overtaking_ += request.tokens;
  if (overtaking_ >= FairQueue::kMaxOvertakingTokens) {
    overtaking_ = TokenCount(0);
    hold_until_ = now + FairQueue::kMaxLargeHold;
  }
}

void ServiceQueue::DrainSmall(MonotonicTime now,
                              const TryDispatch& try_dispatch,
                              const OnLeft& on_left) {
  int misses = 0;
  for (auto& [priority, level] : levels_) {
    if (!DrainLevel(level, now, try_dispatch, on_left, misses)) {
      return;
    }
  }
}

bool ServiceQueue::DrainLevel(Level& level,
                              MonotonicTime now,
                              const TryDispatch& try_dispatch,
                              const OnLeft& on_left,
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
        try_dispatch(request) == DispatchResult::kNoRoom) {
      missed.insert(workspace);
      if (++misses >= kMaxMisses) {
        return false;
      }
      ++it;
      continue;
    }
    FinishHead(level, workspace);
    tokens_ -= request.tokens;
    on_left(request);
    CountOvertaking(request, now);
    if (!is_large_waiting_) {
      OfferLarge(now, try_dispatch, on_left);
    }
    it = level.ready.begin();
  }
  return true;
}

void ServiceQueue::FinishHead(Level& level, const WorkspaceId& workspace) {
  Flow& flow = level.flows[workspace];
  const auto head = flow.items.begin();
  level.ready.erase({flow.start, workspace});
  level.virtual_time = std::max(level.virtual_time, flow.start);
  flow.start += Charge(head->second);
  flow.items.erase(head);
  --small_count_;
  if (!flow.items.empty()) {
    level.ready.emplace(flow.start, workspace);
  }
}

}  // namespace kingcupdrift
