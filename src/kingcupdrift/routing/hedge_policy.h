#ifndef KINGCUPDRIFT_ROUTING_HEDGE_POLICY_H_
#define KINGCUPDRIFT_ROUTING_HEDGE_POLICY_H_

#include <array>
#include <cstddef>
#include <optional>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Decides when a hedge, a second attempt of a short idempotent call, starts.
/// The caller must also take the hedge from the service's `RetryBudget`.
class HedgePolicy {
 public:
  /// Records the time from a call's arrival to its first token, or to its
  /// answer.
  void OnAnswered(Duration time);

  /// Returns the delay before a second attempt: the 95th percentile of the
  /// recorded times. Returns nothing if the call must not be hedged: it is not
  /// idempotent, its prompt is longer than `kMaxPrompt`, or fewer than
  /// `kMinObservations` times are recorded.
  std::optional<Duration> ComputeHedgeDelay(bool is_idempotent,
                                            TokenCount prompt_tokens) const;

  static constexpr TokenCount kMaxPrompt{8000};
  static constexpr std::size_t kMinObservations = 20;

 private:
  static constexpr std::size_t kWindow = 128;

  std::array<Duration, kWindow> times_{};
  std::size_t count_ = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_HEDGE_POLICY_H_
