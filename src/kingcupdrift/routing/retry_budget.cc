#include "kingcupdrift/routing/retry_budget.h"

#include <algorithm>

namespace kingcupdrift {
namespace {

/// Limit of doublings of the ceiling; by then it has reached its maximum.
constexpr int kMaxDoublings = 16;

}  // namespace

void RetryBudget::OnFirstTry() {
  saved_retries_ = std::min(kMaxSavedRetries, saved_retries_ + ratio_);
}

bool RetryBudget::TakeRetry() {
  if (saved_retries_ < 1) {
    return false;
  }
  saved_retries_ -= 1;
  return true;
}

Duration ComputeRetryDelay(int retry, Random& random) {
  const int doublings = std::clamp(retry - 1, 0, kMaxDoublings);
  const Duration ceiling =
      std::min(kMaxRetryDelay, kMinRetryDelay * (1 << doublings));
  const auto jitter = static_cast<Duration::rep>(
      random.NextDouble() * static_cast<double>(ceiling.count()));
  return Duration(1 + jitter);
}

}  // namespace kingcupdrift
