#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_GROUP_CHOICE_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_GROUP_CHOICE_H_

#include <cstddef>
#include <vector>

namespace kingcupdrift {

/// An engine that may become a member of a group. Memory in tokens.
struct GroupCandidate {
  /// Index of the engine in its `ServicePool`.
  std::size_t slot = 0;
  double free_memory = 0;
  double total_memory = 0;
  /// Time until the work that waits there is prefilled, in seconds.
  double backlog_seconds = 0;
};

/// Limit of the members of one group.
inline constexpr std::size_t kMaxGroupSize = 8;
/// Requests that need less than this share of the largest usable engine's
/// memory, for prompt and maximum output, are not given to a group: they wait
/// for a single engine.
inline constexpr double kMinGroupShare = 0.25;

/// Returns whether one idle engine, or a group with equal shares, could hold
/// `memory` tokens.
bool CanEverFit(std::vector<GroupCandidate> candidates, double memory);

/// Returns the slots of the smallest group whose members each have an equal
/// share of `memory` free. Members are ordered by backlog, so the least loaded
/// leads. Returns an empty list if no group has enough free memory.
std::vector<std::size_t> PickGroup(std::vector<GroupCandidate> candidates,
                                   double memory);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_GROUP_CHOICE_H_
