#include "kingcupdrift/membership/discovery.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kingcupdrift {
namespace {

std::vector<MemberRecord> SortByWeight(std::vector<MemberRecord> entries,
                                       const WorkspaceId& workspace) {
  const auto weight = [&workspace](const MemberRecord& it) {
    return RendezvousWeight(workspace.value(), it.id.value());
  };
  std::sort(entries.begin(), entries.end(),
            [&weight](const MemberRecord& a, const MemberRecord& b) {
              return std::pair(weight(a), a.id) > std::pair(weight(b), b.id);
            });
  return entries;
}

/// Moves the first entry of each failure domain to the front, for up to
/// `kHomeEntryCount` domains, and keeps the order otherwise.
void PreferDistinctDomains(std::vector<MemberRecord>& entries) {
  std::set<FailureDomain> seen;
  std::stable_partition(entries.begin(), entries.end(),
                        [&seen](const MemberRecord& it) {
                          return seen.size() < kHomeEntryCount &&
                                 seen.insert(it.failure_domain).second;
                        });
}

}  // namespace

std::vector<MemberRecord> RankEntries(const WorkspaceId& workspace,
                                      const std::vector<MemberRecord>& entries,
                                      Random& random) {
  std::vector<MemberRecord> ranked = SortByWeight(entries, workspace);
  PreferDistinctDomains(ranked);
  const std::size_t homes = std::min(kHomeEntryCount, ranked.size());
  for (std::size_t i = homes; i > 1; --i) {
    std::swap(ranked[i - 1], ranked[random.NextBelow(i)]);
  }
  if (ranked.size() > kMaxAnswerEntries) {
    ranked.resize(kMaxAnswerEntries);
  }
  return ranked;
}

}  // namespace kingcupdrift
