#include "kingcupdrift/forwarding/cold_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kingcupdrift {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

std::optional<ColdQuota> ComputeColdQuota(double requests_per_second,
                                          const ColdBound& bound) {
  // The negations are also true for values that are not a number.
  if (!(requests_per_second > 0) || !(bound.overshoot > 0) ||
      !(bound.slack >= 0)) {
    return std::nullopt;
  }
  const double rate = std::min(requests_per_second, kMaxColdRequestsPerSecond);
  const double half = std::floor((rate * bound.overshoot + bound.slack) / 2);
  const double window = Seconds(kMinColdWindow).count();
  const double requests =
      std::max(1.0, std::min(half, std::ceil(rate * window)));
  // Rates below one request in a day are as good as none.
  const double seconds = std::clamp(requests / rate, window,
                                    Seconds(std::chrono::days(1)).count());
  return ColdQuota{static_cast<std::size_t>(requests),
                   std::chrono::ceil<Duration>(Seconds(seconds))};
}

std::size_t GetQuotaPart(const ColdQuota& quota,
                         std::size_t senders,
                         std::size_t rank) {
  if (rank >= senders) {
    return 0;
  }
  return quota.requests / senders + (rank < quota.requests % senders ? 1 : 0);
}

std::map<ServiceId, ColdLimit> MakeColdLimits(
    const ServingConfig& config,
    const std::optional<ColdBound>& bound) {
  std::map<ServiceId, ColdLimit> limits;
  if (!bound) {
    return limits;
  }
  for (const auto& [id, service] : config.services) {
    const auto quota =
        ComputeColdQuota(service.cold_requests_per_second, *bound);
    if (quota && service.cold_time > Duration::zero()) {
      limits[id] = {std::min(service.cold_time, kMaxColdTime), *quota};
    }
  }
  return limits;
}

}  // namespace kingcupdrift
