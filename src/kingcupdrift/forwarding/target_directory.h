#ifndef KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_
#define KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_

#include <map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// One target as the platform lists it.
struct TargetRecord {
  EngineAddress address;
  ServiceId service;
  FailureDomain failure_domain;
  /// Requests that it processes at the same time.
  int slots = 1;
  /// It takes no new requests.
  bool is_draining = false;
};

/// The targets that requests may be sent to.
class TargetDirectory {
 public:
  explicit TargetDirectory(const Clock& clock) : clock_(clock) {}

  void Update(const TargetRecord& record);
  /// The target is no longer listed.
  void Remove(const EngineId& id);
  /// The target is no longer listed, perhaps only because the platform's store
  /// was away. It stays in use until `kRemovalDelay` passes without an update.
  void ScheduleRemoval(const EngineId& id);

  /// Targets of `service` that take new requests, by identifier.
  std::vector<const TargetRecord*> ListUsable(const ServiceId& service);
  /// The target if it is listed; null otherwise.
  const TargetRecord* Find(const EngineId& id) const;
  bool IsUsable(const EngineId& id);

  /// Targets that live are listed again within 2 s of the store's return, and a
  /// target that leaves must get nothing 2 s after it said so, as the operators
  /// state. The difference covers the way of a request.
  static constexpr Duration kRemovalDelay = std::chrono::milliseconds(1800);

 private:
  struct ListedTarget {
    TargetRecord record;
    bool is_removal_scheduled = false;
    MonotonicTime removal_time{};
  };

  bool IsUsable(const ListedTarget& row) const;

  const Clock& clock_;
  std::map<EngineId, ListedTarget> targets_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_TARGET_DIRECTORY_H_
