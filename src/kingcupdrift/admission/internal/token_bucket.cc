#include "kingcupdrift/admission/internal/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace kingcupdrift {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Longest result of `TimeUntilAvailable`, for a bucket that hardly refills.
constexpr double kMaxWaitSeconds = 1e6;

}  // namespace

void TokenBucket::SetRate(double rate, double burst, MonotonicTime now) {
  Refill(now);
  rate_ = rate;
  burst_ = burst;
  available_ = std::min(available_, burst);
}

bool TokenBucket::HasTokens(MonotonicTime now) {
  Refill(now);
  return available_ > 0;
}

void TokenBucket::Charge(double amount, MonotonicTime now) {
  Refill(now);
  available_ -= amount;
}

void TokenBucket::Refund(double amount, MonotonicTime now) {
  Refill(now);
  available_ = std::min(burst_, available_ + amount);
}

Duration TokenBucket::TimeUntilAvailable(MonotonicTime now) {
  Refill(now);
  if (available_ > 0) {
    return Duration::zero();
  }
  const double seconds = rate_ > 0
                             ? std::min(kMaxWaitSeconds, -available_ / rate_)
                             : kMaxWaitSeconds;
  return Duration(
      1 + static_cast<Duration::rep>(std::ceil(seconds * kMicrosPerSecond)));
}

void TokenBucket::Refill(MonotonicTime now) {
  const auto elapsed = static_cast<double>((now - updated_).count());
  available_ =
      std::min(burst_, available_ + rate_ * elapsed / kMicrosPerSecond);
  updated_ = now;
}

}  // namespace kingcupdrift
