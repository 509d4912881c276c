#ifndef KINGCUPDRIFT_MEMBERSHIP_MEMBER_TABLE_H_
#define KINGCUPDRIFT_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Whether `news` replaces `known` about the same instance. A higher
/// incarnation always wins; within one incarnation the graver state wins
/// (alive, then suspect, then leaving, then dead). A suspicion does not replace
/// a planned stop, since the stop already keeps new work away.
bool Supersedes(const MemberRecord& news, const MemberRecord& known);

/// The other instances that this one knows of. Bounded by `kMaxMembers`.
class MemberTable {
 public:
  static constexpr std::size_t kMaxMembers = 4096;

  explicit MemberTable(const Clock& clock) : clock_(clock) {}

  /// Takes a record in if it supersedes what is known; true if it changed
  /// something other than the generation.
  bool Merge(const MemberRecord& news);
  /// Marks an instance whatever its current state; false if unknown.
  bool SetState(const InstanceId& id, MemberState state);
  /// Removes instances that have been dead for longer than `age`.
  void DropDeadOlderThan(Duration age);

  const MemberRecord* Find(const InstanceId& id) const;
  std::vector<InstanceId> ListByState(MemberState state) const;
  /// All instances that may still answer: every state but dead.
  std::vector<InstanceId> ListNotDead() const;
  std::size_t size() const { return rows_.size(); }

  /// Up to `limit` records for a gossip message: the least often sent first.
  std::vector<MemberRecord> SelectForGossip(std::size_t limit);

 private:
  struct Row {
    MemberRecord record;
    MonotonicTime changed_at{};
    std::uint64_t times_sent = 0;
  };

  const Clock& clock_;
  std::map<InstanceId, Row> rows_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_MEMBERSHIP_MEMBER_TABLE_H_
