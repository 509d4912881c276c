#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_ORDER_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_ORDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "kingcupdrift/forwarding/internal/served_ratios.h"
#include "kingcupdrift/forwarding/internal/workspace_shares.h"
#include "kingcupdrift/forwarding/request_priority.h"

namespace kingcupdrift {

/// What the order of waiting requests depends on.
struct WaitInfo {
  RequestId request;
  ServiceId service;
  WorkspaceId workspace;
  int priority = kDefaultPriority;
  /// The priorities of the configuration differ. If false, `priority` is not
  /// used, and the order within a workspace's share is that of the work.
  bool uses_priority = false;
  /// Predicted prefill time; zero for requests without a prompt and at services
  /// without an engine timing.
  Duration work{0};
  MonotonicTime arrival{};
  /// Longest wait of the request, from `arrival`.
  Duration max_wait{0};
  /// Time to the answer that the caller expects; zero if unknown.
  Duration target_latency{0};
  /// The request may keep less urgent ones from starting. Not set for a request
  /// that has excluded targets: it may wait although there is capacity.
  bool can_hold = true;
};

/// Position of one waiting request.
struct WaitPosition {
  std::uint64_t number = 0;
  /// Lower values come first, and may hold higher ones.
  int level = 0;
  bool is_promoted = false;
};

/// Orders waiting requests, by:
///  1. priority, most urgent first. A less urgent request that has waited for
///     half of its longest wait is promoted to the most urgent level, one for
///     each priority at a time, while its priority is starved (`ServedRatios`);
///  2. how far the workspace is above its fair share (`WorkspaceShares`);
///  3. with differing priorities, requests that have waited for half of their
///     longest wait, in order of arrival;
///  4. work, shortest first;
///  5. number.
/// With equal priorities and a similar load of all workspaces this is the order
/// of the work.
class WaitOrder {
 public:
  using Waiting = std::map<std::uint64_t, WaitInfo>;

  explicit WaitOrder(const Clock& clock)
      : clock_(clock), shares_(clock), ratios_(clock) {}

  void CountStart(const WaitInfo& info);
  /// Counts a request that waited and ended without a start.
  void CountLoss(const WaitInfo& info);

  /// Returns the positions of all requests in their order.
  std::vector<WaitPosition> Arrange(const Waiting& waiting) const;
  /// Returns whether a waiting request of the same service comes before an
  /// arriving one by priority, share or age, so that the arriving one must not
  /// start first.
  bool IsPreceded(const WaitInfo& arriving, const Waiting& waiting) const;
  /// With differing priorities: the request has waited for half of its longest
  /// wait.
  bool HasAged(const WaitInfo& info) const;
  /// Returns whether the waiting request, which could not start, keeps less
  /// urgent ones of its service from starting: after half of its target latency
  /// has passed, or while its priority is served less often than a less urgent
  /// one.
  bool IsHolding(const WaitInfo& info) const;

  /// Divisor of the target latency, after which a request holds others: it
  /// would be late otherwise.
  static constexpr int kHoldLatencyDivisor = 2;
  /// Divisor of the longest wait, for requests without a target latency.
  static constexpr int kHoldWaitDivisor = 4;
  /// Divisor of the longest wait, after which a request has aged.
  static constexpr int kAgedWaitDivisor = 2;

 private:
  using WorkspacesByService = std::map<ServiceId, std::set<WorkspaceId>>;

  static int GetLevel(const WaitInfo& info) {
    return info.uses_priority ? info.priority : 0;
  }
  std::map<ServiceId, int> ListMostUrgent(const Waiting& waiting) const;
  /// Numbers of the requests that are promoted.
  std::set<std::uint64_t> ListPromoted(
      const Waiting& waiting,
      const std::map<ServiceId, int>& most_urgent) const;

  const Clock& clock_;
  WorkspaceShares shares_;
  ServedRatios ratios_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_ORDER_H_
