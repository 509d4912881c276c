#include "kingcupdrift/forwarding/target_health.h"

#include <algorithm>

namespace kingcupdrift {

void TargetHealth::OnSuccess(const EngineId& target) {
  failure_states_.erase(target);
}

void TargetHealth::OnFailure(const EngineId& target) {
  FailureState& state = failure_states_[target];
  const int doublings = std::min(state.failures, 8);
  const Duration backoff =
      std::min(kMinBackoff * (1 << doublings), kMaxBackoff);
  ++state.failures;
  state.backoff_until = clock_.Now() + backoff;
}

void TargetHealth::OnDown(const EngineId& target) {
  FailureState& state = failure_states_[target];
  state.down_until = clock_.Now() + kDownBackoff;
  state.backoff_until = std::max(state.backoff_until, state.down_until);
}

bool TargetHealth::IsDown(const EngineId& target) const {
  const auto it = failure_states_.find(target);
  return it != failure_states_.end() && clock_.Now() < it->second.down_until;
}

bool TargetHealth::IsInBackoff(const EngineId& target) const {
  const auto it = failure_states_.find(target);
  return it != failure_states_.end() && clock_.Now() < it->second.backoff_until;
}

}  // namespace kingcupdrift
