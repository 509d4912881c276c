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

void TargetHealth::Pause(const EngineId& target, Duration pause) {
  const MonotonicTime now = clock_.Now();
  std::erase_if(paused_until_,
                [now](const auto& it) { return it.second <= now; });
  MonotonicTime& until = paused_until_[target];
  until = std::max(until, now + std::min(pause, kMaxPause));
}

Duration TargetHealth::GetPauseLeft(const EngineId& target) const {
  const auto it = paused_until_.find(target);
  return it == paused_until_.end()
             ? Duration::zero()
             : std::max(Duration::zero(), it->second - clock_.Now());
}

std::size_t TargetHealth::CountPaused() const {
  const MonotonicTime now = clock_.Now();
  return static_cast<std::size_t>(
      std::count_if(paused_until_.begin(), paused_until_.end(),
                    [now](const auto& it) { return it.second > now; }));
}

void TargetHealth::Forget(const EngineId& target) {
  failure_states_.erase(target);
  paused_until_.erase(target);
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
