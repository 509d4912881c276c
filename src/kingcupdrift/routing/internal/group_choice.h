#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_GROUP_CHOICE_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_GROUP_CHOICE_H_

#include <cstddef>
#include <vector>

namespace kingcupdrift {

/// An engine that may become a member of a group. Memory in tokens.
struct GroupCandidate {
  std::size_t slot = 0;
  double free_memory = 0;
  double total_memory = 0;
  /// Time until its waiting work is done.
  double backlog_seconds = 0;
};

/// Members of one group, at most.
inline constexpr std::size_t kMaxGroupSize = 8;
/// Prompts below this share of an engine's memory wait for a single engine.
inline constexpr double kMinGroupShare = 0.25;

/// Whether a group of idle engines could hold `memory` tokens.
bool CanEverFit(std::vector<GroupCandidate> candidates, double memory);

/// Slots of the smallest group with an equal share of `memory` free on each
/// member, the one with the least backlog first as the leader; empty if there
/// is none now.
std::vector<std::size_t> PickGroup(std::vector<GroupCandidate> candidates,
                                   double memory);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_GROUP_CHOICE_H_
