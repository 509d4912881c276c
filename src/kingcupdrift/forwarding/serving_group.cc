#include "kingcupdrift/forwarding/serving_group.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace kingcupdrift {

std::set<InstanceId> ChooseServingGroup(
    std::vector<ServingCandidate> candidates,
    double requests_per_second) {
  std::sort(candidates.begin(), candidates.end(),
            [](const ServingCandidate& a, const ServingCandidate& b) {
              return std::tie(b.cores, a.id) < std::tie(a.cores, b.id);
            });
  std::map<FailureDomain, std::size_t> counts;
  std::vector<std::pair<std::size_t, const ServingCandidate*>> ranked;
  ranked.reserve(candidates.size());
  for (const ServingCandidate& it : candidates) {
    ranked.emplace_back(counts[it.failure_domain]++, &it);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  const double needed_cores =
      kServingGroupHeadroom * kCoreSecondsPerRequest * requests_per_second;
  std::set<InstanceId> group;
  double cores = 0;
  for (const auto& [place, candidate] : ranked) {
    if (group.size() >= kMinServingGroupSize && cores >= needed_cores) {
      break;
    }
    group.insert(candidate->id);
    cores += candidate->cores;
  }
  return group;
}

}  // namespace kingcupdrift
