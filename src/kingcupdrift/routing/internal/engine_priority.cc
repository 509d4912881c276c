#include "kingcupdrift/routing/internal/engine_priority.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace kingcupdrift {
namespace {

/// Stretch for equal weights of own time and delay caused to others.
constexpr double kBaseStretch = 8;
constexpr double kMinStretch = 4;
constexpr double kMaxStretch = 16;
/// 2026-01-01: the middle of the 13 years that 32 bits of 100 ms cover.
constexpr WallTime kPriorityEpoch{std::chrono::seconds(1'767'225'600)};

}  // namespace

double StretchFactor(const ServiceConfig& service) {
  if (service.own_time_weight <= 0) {
    return kMaxStretch;
  }
  const double ratio = service.inflicted_delay_weight / service.own_time_weight;
  return std::clamp(kBaseStretch * ratio, kMinStretch, kMaxStretch);
}

int EnginePriority(WallTime arrival,
                   Duration prefill,
                   double stretch,
                   int priority_class) {
  const auto allowed_delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(prefill.count()) * stretch));
  const WallTime virtual_deadline =
      arrival + allowed_delay - priority_class * kPriorityClassOffset;
  const std::int64_t units =
      (kPriorityEpoch - virtual_deadline) / kPriorityUnit;
  return static_cast<int>(std::clamp<std::int64_t>(
      units, std::numeric_limits<int>::min(), std::numeric_limits<int>::max()));
}

}  // namespace kingcupdrift
