#ifndef KINGCUPDRIFT_MEMBERSHIP_MEMBER_TABLE_H_
#define KINGCUPDRIFT_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Returns true if `incoming` replaces `known`, a record of the same instance.
/// The higher incarnation wins; within one incarnation the later state in the
/// order alive, suspect, leaving, dead wins. A suspicion does not replace a
/// planned stop, since the stop already keeps new work away.
bool Supersedes(const MemberRecord& incoming, const MemberRecord& known);

/// The records of the other instances, at most `kMaxMembers`. When the table is
/// full, records of further instances are ignored.
class MemberTable {
 public:
  static constexpr std::size_t kMaxMembers = 4096;

  explicit MemberTable(const Clock& clock) : clock_(clock) {}

  /// Stores a record that supersedes the stored one or is of an unknown
  /// instance that is not dead. Returns true if it was stored. A record that
  /// only has a higher generation updates the generation and returns false.
  bool Merge(const MemberRecord& incoming);
  /// Sets an instance's state, whatever the current one. Returns false if the
  /// instance is unknown.
  bool SetState(const InstanceId& id, MemberState state);
  /// Removes instances that were marked dead more than `age` ago.
  void DropDeadOlderThan(Duration age);

  const MemberRecord* Find(const InstanceId& id) const;
  std::vector<InstanceId> ListByState(MemberState state) const;
  /// All instances that may still answer: those in any state but dead.
  std::vector<InstanceId> ListNotDead() const;
  std::size_t size() const { return rows_.size(); }

  /// Returns up to `limit` records for a gossip message, those least often sent
  /// first, and counts them as sent.
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
