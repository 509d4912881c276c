#ifndef KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_
#define KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// One target as listed in the platform's store.
struct TargetRecord {
  EngineAddress address;
  ServiceId service;
  FailureDomain failure_domain;
  /// Most requests that the target processes at the same time.
  int slots = 1;
  /// The target takes no new requests.
  bool is_draining = false;
  /// How much longer the target stays cold; zero if it is not cold, absent if
  /// the record does not tell.
  std::optional<Duration> cold_left = std::nullopt;
};

/// The listed targets, and which of them may get requests. A target is usable
/// unless it is leaving, its failure domain is evacuated, its removal delay has
/// passed, or only an older copy of the store lists it.
///
/// A target that was draining or announced its leaving stays unusable for good,
/// whatever its record says later; a new process with its ID, that is, another
/// incarnation, is not affected. Without known incarnations a process that was
/// draining counts as replaced when it writes that it is ready, and one that
/// announced its leaving when its record is removed and written again.
class TargetDirectory {
 public:
  explicit TargetDirectory(const Clock& clock) : clock_(clock) {}

  /// Lists the target as its record says, or replaces its record. A record of
  /// an earlier incarnation than the listed one is ignored.
  void Update(const TargetRecord& record);
  /// Like `Update`, for a record of an older copy of the store. If the target
  /// was removed less than `kRemovalMemory` ago, it stays unusable until it
  /// writes a record again, but at most for `kRevivalDelay`.
  void Restore(const TargetRecord& record);
  /// Marks the engine's incarnation as leaving. False if it was already marked.
  bool MarkLeaving(const LeavingEngine& engine);
  std::vector<LeavingEngine> ListLeaving() const;
  /// Drops the target at once.
  void Remove(const EngineId& id);
  /// Makes the target unusable once `kRemovalDelay` passes without an update.
  /// For a target that may be missing from the list only because the platform's
  /// store was out of reach. `Find` still returns it afterwards.
  void ScheduleRemoval(const EngineId& id);

  /// Makes all targets of the failure domain, also those listed later, unusable
  /// until it is taken back. False if nothing changes.
  bool SetEvacuated(const FailureDomain& domain, bool is_evacuated);
  const std::set<FailureDomain>& evacuated() const { return evacuated_; }
  /// The target is listed in an evacuated failure domain.
  bool IsEvacuated(const EngineId& id) const;

  /// Usable targets of `service`, ordered by identifier.
  std::vector<const TargetRecord*> ListUsable(const ServiceId& service) const;
  /// Usable targets of all services.
  std::vector<const TargetRecord*> ListUsable() const;
  /// The last record of the target, also of an unusable one. Null if it was
  /// never listed or has been dropped by `Remove`.
  const TargetRecord* Find(const EngineId& id) const;
  bool IsUsable(const EngineId& id) const;

  /// Time for which a target that may only be missing from the list stays
  /// usable. A draining target must get no request later than 2 s after its
  /// notice, as the operators state; the 200 ms below that are for requests on
  /// their way. Running targets are listed again within 2 s of the store's
  /// return, so one may be unusable for the last 200 ms.
  static constexpr Duration kRemovalDelay = std::chrono::milliseconds(1800);
  /// Longer than the age of the copies from which the store is restored, which
  /// are some seconds old.
  static constexpr Duration kRemovalMemory = std::chrono::minutes(2);
  /// The store drops the record of a target that does not write for some
  /// seconds. After this time a restored record has proved to be current.
  static constexpr Duration kRevivalDelay = std::chrono::seconds(10);
  /// Marks of engines that are not listed are dropped after this time.
  static constexpr Duration kLeavingMemory = std::chrono::minutes(10);

 private:
  struct ListedTarget {
    TargetRecord record;
    bool is_removal_scheduled = false;
    MonotonicTime removal_time{};
    MonotonicTime usable_from{};
  };
  struct LeavingMark {
    Incarnation incarnation;
    /// Only the target's record said so; it announced nothing itself.
    bool is_from_record = false;
    MonotonicTime marked_at{};
  };
  struct RemovedTarget {
    Incarnation incarnation;
    MonotonicTime removed_at{};
  };

  bool IsUsable(const ListedTarget& target) const;
  bool IsLeaving(const EngineAddress& address) const;
  bool IsOutdated(const TargetRecord& record) const;
  void RememberDraining(const TargetRecord& record);
  void ForgetOldMarks();

  const Clock& clock_;
  std::map<EngineId, ListedTarget> targets_;
  std::map<EngineId, LeavingMark> leaving_;
  std::map<EngineId, RemovedTarget> removed_;
  std::set<FailureDomain> evacuated_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_
