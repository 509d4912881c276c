#ifndef KINGCUPDRIFT_FORWARDING_TARGET_HEALTH_H_
#define KINGCUPDRIFT_FORWARDING_TARGET_HEALTH_H_

#include <cstddef>
#include <map>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Backoff of targets that failed lately. A target in backoff gets no request
/// unless all targets that the request could be sent to are in backoff. Backoff
/// ends after its time or by a success.
///
/// A target may also ask this entry for a pause, in which it gets nothing at
/// all. Only time ends a pause.
class TargetHealth {
 public:
  explicit TargetHealth(const Clock& clock) : clock_(clock) {}

  void OnSuccess(const EngineId& target);
  void OnFailure(const EngineId& target);
  /// A check found that the target does not answer at all.
  void OnDown(const EngineId& target);
  bool IsInBackoff(const EngineId& target) const;
  /// The target asked for a pause. A longer pause that it asked for before
  /// stays. At most `kMaxPause`.
  void Pause(const EngineId& target, Duration pause);
  /// Zero if the target is not paused.
  Duration GetPauseLeft(const EngineId& target) const;
  bool IsPaused(const EngineId& target) const {
    return GetPauseLeft(target) > Duration::zero();
  }
  std::size_t CountPaused() const;
  /// Ends all backoff; pauses stay.
  void ForgetFailures() { failure_states_.clear(); }
  /// Another process now runs under the target's identifier.
  void Forget(const EngineId& target);
  /// `OnDown` was called less than `kDownBackoff` ago, and no success since.
  bool IsDown(const EngineId& target) const;

  /// Backoff after one failure; doubles with each further failure in a row. Not
  /// shorter than a connection attempt to a target that doesn't answer.
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(500);
  /// Engines that restart answer again after a few seconds.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(4);
  /// Backoff of a target that failed its check. Engines that restart need
  /// seconds. The target is checked again if it fails an attempt afterwards.
  static constexpr Duration kDownBackoff = std::chrono::milliseconds(1500);
  /// Bounds a pause that a damaged answer asks for.
  static constexpr Duration kMaxPause = std::chrono::minutes(5);

 private:
  struct FailureState {
    int failures = 0;
    MonotonicTime down_until{};
    MonotonicTime backoff_until{};
  };

  const Clock& clock_;
  std::map<EngineId, FailureState> failure_states_;
  std::map<EngineId, MonotonicTime> paused_until_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_TARGET_HEALTH_H_
