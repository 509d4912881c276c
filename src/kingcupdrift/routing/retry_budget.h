#ifndef KINGCUPDRIFT_ROUTING_RETRY_BUDGET_H_
#define KINGCUPDRIFT_ROUTING_RETRY_BUDGET_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Limits the retries of one service to a share of its first attempts, so that
/// a failure of many engines does not multiply the load on the others.
class RetryBudget {
 public:
  /// `ratio`: retries allowed for each first attempt.
  explicit RetryBudget(double ratio) : ratio_(ratio) {}

  void SetRatio(double ratio) { ratio_ = ratio; }
  /// Adds `ratio` retries to the budget, up to `kMaxSavedRetries`.
  void OnFirstTry();
  /// Takes one retry or hedge from the budget. Returns false if less than one
  /// is left.
  [[nodiscard]] bool TakeRetry();

  /// Limit of the budget, which a new budget starts with.
  static constexpr double kMaxSavedRetries = 10;

 private:
  double ratio_;
  double saved_retries_ = kMaxSavedRetries;
};

/// Returns the delay before retry number `retry` (1 is the first), with full
/// jitter: uniform between zero (exclusive) and a ceiling, which starts at
/// `kMinRetryDelay` and doubles with each retry up to `kMaxRetryDelay`.
Duration ComputeRetryDelay(int retry, Random& random);

/// Ceiling of the first retry's delay; the delay itself may be shorter.
inline constexpr Duration kMinRetryDelay = std::chrono::milliseconds(20);
/// Limit of the ceiling.
inline constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_RETRY_BUDGET_H_
