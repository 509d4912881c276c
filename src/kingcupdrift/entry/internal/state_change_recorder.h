#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_STATE_CHANGE_RECORDER_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_STATE_CHANGE_RECORDER_H_

#include <set>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/routing/routing.h"
#include "kingcupdrift/store/store.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Adds state changes that no single call reports to the time line: outages and
/// recoveries of the store, and engines that become unusable or usable again.
class StateChangeRecorder {
 public:
  /// All references must outlive the object.
  StateChangeRecorder(const StoreBudget& budget,
                      const Router& router,
                      EventRing& ring)
      : budget_(budget), router_(router), ring_(ring) {}

  /// Records what changed since the last call.
  void Check();

 private:
  void CheckStore();
  void CheckEngines();

  const StoreBudget& budget_;
  const Router& router_;
  EventRing& ring_;
  bool was_store_down_ = false;
  std::set<EngineId> out_of_use_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_STATE_CHANGE_RECORDER_H_
