#include "kingcupdrift/forwarding/internal/wait_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcupdrift {

void WaitOrder::CountStart(const WaitInfo& info) {
  shares_.Add(info.service, info.workspace, info.work);
  if (info.uses_priority) {
    ratios_.CountStart(info.service, info.priority);
  }
}

void WaitOrder::CountLoss(const WaitInfo& info) {
  if (info.uses_priority) {
    ratios_.CountLoss(info.service, info.priority);
  }
}

bool WaitOrder::HasAged(const WaitInfo& info) const {
  return info.uses_priority &&
         clock_.Now() - info.arrival >= info.max_wait / kAgedWaitDivisor;
}

std::map<ServiceId, int> WaitOrder::ListMostUrgent(
    const Waiting& waiting) const {
  std::map<ServiceId, int> most_urgent;
  for (const auto& [number, info] : waiting) {
    const auto [it, is_new] =
        most_urgent.try_emplace(info.service, GetLevel(info));
    it->second = std::min(it->second, GetLevel(info));
  }
  return most_urgent;
}

std::set<std::uint64_t> WaitOrder::ListPromoted(
    const Waiting& waiting,
    const std::map<ServiceId, int>& most_urgent) const {
  // The oldest aged request of each service and level.
  std::map<std::pair<ServiceId, int>, std::pair<MonotonicTime, std::uint64_t>>
      oldest;
  for (const auto& [number, info] : waiting) {
    if (GetLevel(info) > most_urgent.at(info.service) && HasAged(info)) {
      const std::pair age(info.arrival, number);
      const auto [it, is_new] =
          oldest.try_emplace({info.service, GetLevel(info)}, age);
      it->second = std::min(it->second, age);
    }
  }
  std::set<std::uint64_t> promoted;
  for (const auto& [kind, age] : oldest) {
    if (ratios_.IsStarved(kind.first, kind.second)) {
      promoted.insert(age.second);
    }
  }
  return promoted;
}

std::vector<WaitPosition> WaitOrder::Arrange(const Waiting& waiting) const {
  const std::map<ServiceId, int> most_urgent = ListMostUrgent(waiting);
  const std::set<std::uint64_t> promoted = ListPromoted(waiting, most_urgent);
  WorkspacesByService workspaces;
  for (const auto& [number, info] : waiting) {
    workspaces[info.service].insert(info.workspace);
  }
  std::map<ServiceId, std::map<WorkspaceId, int>> excesses;
  for (const auto& [service, names] : workspaces) {
    excesses[service] = shares_.ComputeExcesses(service, names);
  }
  // Level, not promoted, excess, not aged, arrival if aged, work, number.
  using Key =
      std::tuple<int, bool, int, bool, MonotonicTime, Duration, std::uint64_t>;
  std::vector<Key> keys;
  keys.reserve(waiting.size());
  for (const auto& [number, info] : waiting) {
    const bool is_promoted = promoted.contains(number);
    const bool has_aged = HasAged(info);
    keys.emplace_back(
        is_promoted ? most_urgent.at(info.service) : GetLevel(info),
        !is_promoted, excesses.at(info.service).at(info.workspace), !has_aged,
        has_aged ? info.arrival : MonotonicTime(), info.work, number);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<WaitPosition> positions;
  positions.reserve(keys.size());
  for (const Key& it : keys) {
    positions.push_back({std::get<6>(it), std::get<0>(it), !std::get<1>(it)});
  }
  return positions;
}

bool WaitOrder::IsPreceded(const WaitInfo& arriving,
                           const Waiting& waiting) const {
  std::set<WorkspaceId> workspaces = {arriving.workspace};
  std::set<WorkspaceId> same_level;
  for (const auto& [number, info] : waiting) {
    if (info.service != arriving.service) {
      continue;
    }
    if (GetLevel(info) < GetLevel(arriving) || HasAged(info)) {
      return true;
    }
    workspaces.insert(info.workspace);
    if (GetLevel(info) == GetLevel(arriving)) {
      same_level.insert(info.workspace);
    }
  }
  const std::map<WorkspaceId, int> excesses =
      shares_.ComputeExcesses(arriving.service, workspaces);
  return std::any_of(same_level.begin(), same_level.end(),
                     [&](const WorkspaceId& it) {
                       return excesses.at(it) < excesses.at(arriving.workspace);
                     });
}

bool WaitOrder::IsHolding(const WaitInfo& info) const {
  if (!info.uses_priority || !info.can_hold) {
    return false;
  }
  const Duration hold_after = info.target_latency > Duration::zero()
                                  ? info.target_latency / kHoldLatencyDivisor
                                  : info.max_wait / kHoldWaitDivisor;
  return clock_.Now() - info.arrival >= hold_after ||
         ratios_.IsBehindLessUrgent(info.service, info.priority);
}

}  // namespace kingcupdrift
