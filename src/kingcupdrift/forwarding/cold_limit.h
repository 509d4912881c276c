#ifndef KINGCUPDRIFT_FORWARDING_COLD_LIMIT_H_
#define KINGCUPDRIFT_FORWARDING_COLD_LIMIT_H_

#include <cstddef>
#include <map>
#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/serving_config.h"

namespace kingcupdrift {

/// The requests of all entries (serving processes) to a cold engine within any
/// second stay below its rate x `overshoot` + `slack`.
struct ColdBound {
  double overshoot = 0;
  double slack = 0;
};

/// Requests that the senders of one set together may send to a cold engine
/// within any span of `window`.
struct ColdQuota {
  std::size_t requests = 0;
  Duration window{0};

  friend bool operator==(const ColdQuota&, const ColdQuota&) = default;
};

/// The limit of the cold engines of one service.
struct ColdLimit {
  /// Time for which an engine is cold after its start.
  Duration cold_time{0};
  ColdQuota quota;
};

/// Shortest window. Longer than the second of the bound, since requests take
/// unequal time to the engine: those sent `kMinColdWindow` apart may arrive up
/// to 100 ms closer together.
inline constexpr Duration kMinColdWindow = std::chrono::milliseconds(1100);
/// Longer times and higher rates in a configuration are clamped to these, which
/// bound how long an engine is held back and how many requests are remembered.
inline constexpr Duration kMaxColdTime = std::chrono::seconds(60);
inline constexpr double kMaxColdRequestsPerSecond = 1000;

/// Divides the bound by two, so that it holds while the entries' views of the
/// membership differ and two disjoint sets of senders exist. The mean rate of
/// one set stays within `requests_per_second`. At least one request, which is
/// more than a bound below two allows while two sets exist.
///
/// Nothing without a limit, that is, if the rate is not above zero or the bound
/// is not valid.
std::optional<ColdQuota> ComputeColdQuota(double requests_per_second,
                                          const ColdBound& bound);

/// The part of the quota for the sender with this rank, from 0, among
/// `senders`. The parts of all of them add up to the quota.
std::size_t GetQuotaPart(const ColdQuota& quota,
                         std::size_t senders,
                         std::size_t rank);

/// Limits of the services whose engines have one when cold; none without
/// `bound`.
std::map<ServiceId, ColdLimit> MakeColdLimits(
    const ServingConfig& config,
    const std::optional<ColdBound>& bound);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_COLD_LIMIT_H_
