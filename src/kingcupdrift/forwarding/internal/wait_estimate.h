#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_ESTIMATE_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_ESTIMATE_H_

#include <cstddef>
#include <optional>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// What decides whether a waiting prompt can still get its first event in time.
struct WaitEstimateInput {
  /// Prefill time of the waiting prompts that come before this one.
  Duration work_ahead{0};
  /// Known prefill time left at the service's engines, sum of all.
  Duration backlog{0};
  /// Engines of the service, also those that take nothing now.
  std::size_t engines = 0;
  /// Time to the first event at idle engines.
  Duration ideal_time{0};
  /// Time after which the first event is too late, from now and for a new
  /// request.
  Duration time_left{0};
  Duration whole_time{0};
};

/// Returns the predicted wait until the engines have done the work ahead, all
/// of them working on nothing else and without loss. A lower bound, less a
/// margin for errors of the engines' timing (`kWaitOptimism`).
Duration EstimateLeastWait(const WaitEstimateInput& input);

/// Returns the time after which a new request is expected to get its first
/// event in time, at least `least`, if this one can't even with the wait above.
/// Absent if it may, which leaves it waiting.
std::optional<Duration> FindRetryTime(const WaitEstimateInput& input,
                                      Duration least);

/// Margin for engines that are faster than their configured timing, and for
/// work of other entries that has ended without a message yet. Not measured.
inline constexpr double kWaitOptimism = 0.8;
/// Callers honour a longer time only if they have more left than most do.
inline constexpr Duration kMaxRetryTime = std::chrono::seconds(5);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_ESTIMATE_H_
