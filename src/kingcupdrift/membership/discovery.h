#ifndef KINGCUPDRIFT_MEMBERSHIP_DISCOVERY_H_
#define KINGCUPDRIFT_MEMBERSHIP_DISCOVERY_H_

#include <cstddef>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Entries among which one workspace's requests are spread. Few, so that usage
/// limits and knowledge of cached prefixes stay local.
inline constexpr std::size_t kHomeEntryCount = 3;
/// Addresses in one answer.
inline constexpr std::size_t kMaxAnswerEntries = 8;

/// Ranks entries for a workspace: its home entries by rendezvous hashing, in
/// random order to spread the load among them, then the next ones as fallback.
/// Where it is possible the homes lie in different failure domains, so that the
/// loss of one failure domain leaves a home.
std::vector<MemberRecord> RankEntries(const WorkspaceId& workspace,
                                      const std::vector<MemberRecord>& entries,
                                      Random& random);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_MEMBERSHIP_DISCOVERY_H_
