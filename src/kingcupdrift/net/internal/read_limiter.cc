#include "kingcupdrift/net/internal/read_limiter.h"

#include <algorithm>
#include <chrono>

namespace kingcupdrift {

Duration ReadLimiter::GetPause(MonotonicTime now) {
  Refill(now);
  if (tokens_ >= 0) {
    return Duration::zero();
  }
  const std::chrono::duration<double> missing(-tokens_ / kTokensPerSecond);
  return std::chrono::ceil<Duration>(missing);
}

bool ReadLimiter::IsFull(MonotonicTime now) {
  Refill(now);
  return tokens_ >= kMaxTokens;
}

void ReadLimiter::Refill(MonotonicTime now) {
  const std::chrono::duration<double> passed = now - last_refill_;
  tokens_ = std::min(kMaxTokens, tokens_ + passed.count() * kTokensPerSecond);
  last_refill_ = now;
}

}  // namespace kingcupdrift
