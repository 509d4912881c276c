#include "kingcupdrift/routing/internal/group_choice.h"

#include <algorithm>
#include <cmath>

namespace kingcupdrift {

bool CanEverFit(std::vector<GroupCandidate> candidates, double memory) {
  std::sort(candidates.begin(), candidates.end(),
            [](const GroupCandidate& a, const GroupCandidate& b) {
              return a.total_memory > b.total_memory;
            });
  const std::size_t most = std::min(kMaxGroupSize, candidates.size());
  for (std::size_t n = 1; n <= most; ++n) {
    const double share = std::ceil(memory / static_cast<double>(n));
    if (candidates[n - 1].total_memory >= share) {
      return true;
    }
  }
  return false;
}

std::vector<std::size_t> PickGroup(std::vector<GroupCandidate> candidates,
                                   double memory) {
  std::sort(candidates.begin(), candidates.end(),
            [](const GroupCandidate& a, const GroupCandidate& b) {
              return a.backlog_seconds < b.backlog_seconds;
            });
  const std::size_t most = std::min(kMaxGroupSize, candidates.size());
  for (std::size_t n = 2; n <= most; ++n) {
    const double share = std::ceil(memory / static_cast<double>(n));
    std::vector<std::size_t> members;
    for (const GroupCandidate& candidate : candidates) {
      if (candidate.free_memory >= share && members.size() < n) {
        members.push_back(candidate.slot);
      }
    }
    if (members.size() == n) {
      return members;
    }
  }
  return {};
}

}  // namespace kingcupdrift
