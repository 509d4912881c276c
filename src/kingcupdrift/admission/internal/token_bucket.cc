#include "kingcupdrift/admission/internal/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace kingcupdrift {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Longest time told for a bucket that hardly refills.
constexpr double kLongestSeconds = 1e6;

}  // namespace

void TokenBucket::SetRate(double rate, double burst, MonotonicTime now) {
  Refill(now);
  rate_ = rate;
  burst_ = burst;
  level_ = std::min(level_, burst);
}

bool TokenBucket::HasAny(MonotonicTime now) {
  Refill(now);
  return level_ > 0;
}

void TokenBucket::Charge(double amount, MonotonicTime now) {
  Refill(now);
  level_ -= amount;
}

void TokenBucket::GiveBack(double amount, MonotonicTime now) {
  Refill(now);
  level_ = std::min(burst_, level_ + amount);
}

Duration TokenBucket::TimeUntilAny(MonotonicTime now) {
  Refill(now);
  if (level_ > 0) {
    return Duration::zero();
  }
  const double seconds =
      rate_ > 0 ? std::min(kLongestSeconds, -level_ / rate_) : kLongestSeconds;
  return Duration(
      1 + static_cast<Duration::rep>(std::ceil(seconds * kMicrosPerSecond)));
}

void TokenBucket::Refill(MonotonicTime now) {
  const auto elapsed = static_cast<double>((now - updated_).count());
  level_ = std::min(burst_, level_ + rate_ * elapsed / kMicrosPerSecond);
  updated_ = now;
}

}  // namespace kingcupdrift
