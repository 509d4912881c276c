#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_STATE_CHANGE_RECORDER_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_STATE_CHANGE_RECORDER_H_

#include <set>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/routing/routing.h"
#include "kingcupdrift/store/store.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Puts changes of state on the time line that no single call reports: the
/// store going down and coming back, engines going out of use and returning.
class StateChangeRecorder {
 public:
  /// All references outlive the object.
  StateChangeRecorder(const StoreBudget& budget,
                      const Router& router,
                      EventRing& ring)
      : budget_(budget), router_(router), ring_(ring) {}

  /// Compares with the last call.
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
