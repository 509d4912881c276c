#include "kingcupdrift/forwarding/internal/least_loaded_target.h"

#include <tuple>

namespace kingcupdrift {

const TargetRecord* ChooseLeastLoadedTarget(
    const std::vector<const TargetRecord*>& targets,
    const std::map<EngineId, int>& sends_in_progress,
    const FailureDomain& own_domain,
    Random& random) {
  using Rank = std::tuple<double, bool, std::uint64_t>;
  const TargetRecord* best = nullptr;
  Rank best_rank;
  for (const TargetRecord* it : targets) {
    const auto sends = sends_in_progress.find(it->address.id);
    const int count = sends == sends_in_progress.end() ? 0 : sends->second;
    if (count >= it->slots) {
      continue;
    }
    const Rank rank{static_cast<double>(count) / it->slots,
                    it->failure_domain != own_domain, random.Next()};
    if (best == nullptr || rank < best_rank) {
      best = it;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace kingcupdrift
