#include "kingcupdrift/entry/internal/state_change_recorder.h"

#include <utility>

namespace kingcupdrift {

void StateChangeRecorder::Check() {
  CheckStore();
  CheckEngines();
}

void StateChangeRecorder::CheckStore() {
  const bool is_down = budget_.is_down();
  if (is_down == was_store_down_) {
    return;
  }
  was_store_down_ = is_down;
  ring_.Add(is_down ? EventKind::kStoreUnavailable : EventKind::kStoreRecovered,
            "");
}

void StateChangeRecorder::CheckEngines() {
  std::set<EngineId> out_of_use;
  for (const EngineAddress& it : router_.Subset()) {
    if (!router_.IsUsable(it.id)) {
      out_of_use.insert(it.id);
    }
  }
  for (const EngineId& it : out_of_use) {
    if (!out_of_use_.contains(it)) {
      ring_.Add(EventKind::kEngineEjected, it.value());
    }
  }
  for (const EngineId& it : out_of_use_) {
    if (!out_of_use.contains(it)) {
      ring_.Add(EventKind::kEngineReturned, it.value());
    }
  }
  out_of_use_ = std::move(out_of_use);
}

}  // namespace kingcupdrift
