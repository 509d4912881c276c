#include "kingcupdrift/admission/internal/drain_meter.h"

#include <algorithm>
#include <cmath>

namespace kingcupdrift {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Time constant of the exponential decay of the counts, which fall to 1/e in
/// it, in seconds.
constexpr double kDecaySeconds = 120;
/// Weight of the expected rate, in seconds of measurement.
constexpr double kExpectedRateSeconds = 0.5;
constexpr double kMaxDrainSeconds = 3600;
constexpr Duration kMaxDrainTime = std::chrono::hours(1);

}  // namespace

void DrainMeter::Advance(MonotonicTime now) {
  const double elapsed =
      static_cast<double>((now - updated_).count()) / kMicrosPerSecond;
  updated_ = now;
  if (waiting_ == 0) {
    return;
  }
  const double decay = std::exp(-elapsed / kDecaySeconds);
  started_ *= decay;
  seconds_ = seconds_ * decay + elapsed;
}

void DrainMeter::OnEnqueued(TokenCount tokens, MonotonicTime now) {
  Advance(now);
  ++waiting_;
  backlog_ += static_cast<double>(tokens.value());
}

void DrainMeter::OnStarted(TokenCount tokens, MonotonicTime now) {
  Advance(now);
  OnAbandoned(tokens);
  started_ += static_cast<double>(tokens.value());
}

void DrainMeter::OnAbandoned(TokenCount tokens) {
  waiting_ -= std::min<std::size_t>(waiting_, 1);
  backlog_ = std::max(0.0, backlog_ - static_cast<double>(tokens.value()));
}

Duration DrainMeter::DrainTime(MonotonicTime now) const {
  if (backlog_ <= 0) {
    return Duration::zero();
  }
  DrainMeter current = *this;
  current.Advance(now);
  const double rate =
      (current.started_ + expected_rate_ * kExpectedRateSeconds) /
      (current.seconds_ + kExpectedRateSeconds);
  if (rate <= 0) {
    return kMaxDrainTime;
  }
  const double seconds = std::min(backlog_ / rate, kMaxDrainSeconds);
  return Duration(static_cast<Duration::rep>(seconds * kMicrosPerSecond));
}

}  // namespace kingcupdrift
