#ifndef KINGCUPDRIFT_ROUTING_RETRY_BUDGET_H_
#define KINGCUPDRIFT_ROUTING_RETRY_BUDGET_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Bounds the retries of one service to a share of its first tries, so that a
/// failure of many engines does not multiply the load on the rest.
class RetryBudget {
 public:
  /// `ratio`: retries for each first try.
  explicit RetryBudget(double ratio) : ratio_(ratio) {}

  void SetRatio(double ratio) { ratio_ = ratio; }
  void OnFirstTry();
  /// Takes one retry (or hedge) from the budget; false if it is used up.
  [[nodiscard]] bool TakeRetry();

  /// Retries that may be saved up, and that a new budget starts with.
  static constexpr double kMaxSavedRetries = 10;

 private:
  double ratio_;
  double saved_retries_ = kMaxSavedRetries;
};

/// Delay before retry number `retry` (1 is the first): exponential between
/// `kMinRetryDelay` and `kMaxRetryDelay`, with full jitter.
Duration ComputeRetryDelay(int retry, Random& random);

inline constexpr Duration kMinRetryDelay = std::chrono::milliseconds(20);
inline constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_RETRY_BUDGET_H_
