#include "kingcupdrift/admission/internal/drain_meter.h"

#include <algorithm>

namespace kingcupdrift {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Time over which one sample of the rate is taken.
constexpr Duration kWindow = std::chrono::seconds(2);
/// Age from which a measured rate counts no more.
constexpr Duration kMaxAge = std::chrono::seconds(30);
constexpr double kSmoothing = 0.3;
constexpr Duration kLongest = std::chrono::hours(1);

}  // namespace

void DrainMeter::OnEntered(TokenCount tokens, MonotonicTime now) {
  if (waiting_ == 0) {
    window_start_ = now;
    started_ = 0;
  }
  ++waiting_;
  backlog_ += static_cast<double>(tokens.value());
}

void DrainMeter::OnStarted(TokenCount tokens, MonotonicTime now) {
  OnAbandoned(tokens);
  started_ += static_cast<double>(tokens.value());
  CloseWindow(now);
}

void DrainMeter::OnAbandoned(TokenCount tokens) {
  waiting_ -= std::min<std::size_t>(waiting_, 1);
  backlog_ = std::max(0.0, backlog_ - static_cast<double>(tokens.value()));
}

void DrainMeter::CloseWindow(MonotonicTime now) {
  const Duration elapsed = now - window_start_;
  if (elapsed < kWindow) {
    return;
  }
  const double sample =
      started_ * kMicrosPerSecond / static_cast<double>(elapsed.count());
  measured_ =
      measured_ == 0 ? sample : measured_ + kSmoothing * (sample - measured_);
  measured_at_ = now;
  window_start_ = now;
  started_ = 0;
}

double DrainMeter::Rate(MonotonicTime now) const {
  if (measured_ <= 0 || now - measured_at_ > kMaxAge) {
    return fallback_;
  }
  return measured_;
}

Duration DrainMeter::DrainTime(MonotonicTime now) const {
  if (backlog_ <= 0) {
    return Duration::zero();
  }
  const double rate = Rate(now);
  if (rate <= 0) {
    return kLongest;
  }
  const double micros = backlog_ / rate * kMicrosPerSecond;
  return std::min(kLongest, Duration(static_cast<Duration::rep>(micros)));
}

}  // namespace kingcupdrift
