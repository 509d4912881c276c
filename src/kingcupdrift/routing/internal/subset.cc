#include "kingcupdrift/routing/internal/subset.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace kingcupdrift {
namespace {

struct Scored {
  std::uint64_t score = 0;
  const EngineConfig* engine = nullptr;
};

using ByDomain = std::map<FailureDomain, std::vector<Scored>>;

ByDomain ScoreByDomain(const std::vector<const EngineConfig*>& engines,
                       const InstanceId& instance) {
  const std::uint64_t seed = FastHash(instance.value());
  ByDomain domains;
  for (const EngineConfig* engine : engines) {
    const std::uint64_t score = FastHash(engine->id.value(), seed);
    domains[engine->failure_domain].push_back({score, engine});
  }
  for (auto& [domain, members] : domains) {
    std::sort(members.begin(), members.end(),
              [](const Scored& a, const Scored& b) {
                return std::pair(a.score, a.engine->id) <
                       std::pair(b.score, b.engine->id);
              });
  }
  return domains;
}

}  // namespace

std::vector<const EngineConfig*> ChooseSubset(
    const std::vector<const EngineConfig*>& engines,
    const InstanceId& instance,
    std::size_t max_size) {
  if (engines.size() <= max_size) {
    return engines;
  }
  const ByDomain domains = ScoreByDomain(engines, instance);
  std::vector<const EngineConfig*> chosen;
  for (std::size_t rank = 0; chosen.size() < max_size; ++rank) {
    for (const auto& [domain, members] : domains) {
      if (rank < members.size() && chosen.size() < max_size) {
        chosen.push_back(members[rank].engine);
      }
    }
  }
  std::sort(chosen.begin(), chosen.end(),
            [](const EngineConfig* a, const EngineConfig* b) {
              return a->id < b->id;
            });
  return chosen;
}

}  // namespace kingcupdrift
