#ifndef KINGCUPDRIFT_MEMBERSHIP_DISCOVERY_H_
#define KINGCUPDRIFT_MEMBERSHIP_DISCOVERY_H_

#include <cstddef>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Home entries of a workspace, among which its requests are spread. An entry
/// is one serving process. The number is small so that few entries need to
/// share a workspace's usage and to know which engines cache its prompts.
inline constexpr std::size_t kHomeEntryCount = 3;
/// Most entries in one `RankEntries` result, and so in one answer to a caller
/// that asks for the entries of its workspace.
inline constexpr std::size_t kMaxAnswerEntries = 8;

/// Returns at most `kMaxAnswerEntries` entries for a workspace: first its home
/// entries, in random order to spread the load among them, then fallbacks in
/// the order of their rendezvous weights. Home entries are in different failure
/// domains if there are enough domains, so that a workspace keeps a home entry
/// when one failure domain is lost.
std::vector<MemberRecord> RankEntries(const WorkspaceId& workspace,
                                      const std::vector<MemberRecord>& entries,
                                      Random& random);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_MEMBERSHIP_DISCOVERY_H_
