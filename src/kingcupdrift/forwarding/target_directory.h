#ifndef KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_
#define KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_

#include <map>
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
};

/// The listed targets, and which of them may get requests. A target is usable
/// unless it is draining or its removal delay has passed.
class TargetDirectory {
 public:
  explicit TargetDirectory(const Clock& clock) : clock_(clock) {}

  void Update(const TargetRecord& record);
  /// Drops the target at once.
  void Remove(const EngineId& id);
  /// Makes the target unusable once `kRemovalDelay` passes without an update.
  /// For a target that may be missing from the list only because the platform's
  /// store was out of reach. `Find` still returns it afterwards.
  void ScheduleRemoval(const EngineId& id);

  /// Usable targets of `service`, ordered by identifier.
  std::vector<const TargetRecord*> ListUsable(const ServiceId& service);
  /// The last record of the target, also of an unusable one. Null if it was
  /// never listed or has been dropped by `Remove`.
  const TargetRecord* Find(const EngineId& id) const;
  bool IsUsable(const EngineId& id);

  /// Time for which a target that may only be missing from the list stays
  /// usable. A draining target must get no request later than 2 s after its
  /// notice, as the operators state; the 200 ms below that are for requests on
  /// their way. Running targets are listed again within 2 s of the store's
  /// return, so one may be unusable for the last 200 ms.
  static constexpr Duration kRemovalDelay = std::chrono::milliseconds(1800);

 private:
  struct ListedTarget {
    TargetRecord record;
    bool is_removal_scheduled = false;
    MonotonicTime removal_time{};
  };

  bool IsUsable(const ListedTarget& target) const;

  const Clock& clock_;
  std::map<EngineId, ListedTarget> targets_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_
