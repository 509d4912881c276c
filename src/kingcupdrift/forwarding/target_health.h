#ifndef KINGCUPDRIFT_FORWARDING_TARGET_HEALTH_H_
#define KINGCUPDRIFT_FORWARDING_TARGET_HEALTH_H_

#include <map>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Which targets failed lately. A doubted target is chosen only if no other can
/// be; its doubt ends by itself or by a success.
class TargetHealth {
 public:
  explicit TargetHealth(const Clock& clock) : clock_(clock) {}

  void OnSuccess(const EngineId& target);
  void OnFailure(const EngineId& target);
  /// The target does not answer at all.
  void OnDown(const EngineId& target);
  bool IsInBackoff(const EngineId& target) const;
  /// Found not to answer within `kDownBackoff`.
  bool IsDown(const EngineId& target) const;

  /// Doubt after one failure; doubles with each further one in a row. As long
  /// as a connection attempt to a silent target takes at most.
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(500);
  /// Engines that start again are back after a few seconds.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(4);
  /// A target that does not answer is doubted this long, and checked again when
  /// it then fails a send. Engines that start again need seconds.
  static constexpr Duration kDownBackoff = std::chrono::milliseconds(1500);

 private:
  struct FailureState {
    int failures = 0;
    MonotonicTime down_until{};
    MonotonicTime backoff_until{};
  };

  const Clock& clock_;
  std::map<EngineId, FailureState> failure_states_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_TARGET_HEALTH_H_
