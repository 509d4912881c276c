#include "kingcupdrift/forwarding/internal/wait_estimate.h"

#include <algorithm>

namespace kingcupdrift {

Duration EstimateLeastWait(const WaitEstimateInput& input) {
  if (input.engines == 0) {
    return Duration::zero();
  }
  const Duration work = std::max(input.work_ahead, Duration::zero()) +
                        std::max(input.backlog, Duration::zero());
  return Duration(static_cast<Duration::rep>(
      kWaitOptimism * static_cast<double>(work.count()) /
      static_cast<double>(input.engines)));
}

std::optional<Duration> FindRetryTime(const WaitEstimateInput& input,
                                      Duration least) {
  const Duration wait = EstimateLeastWait(input);
  if (wait == Duration::zero() || wait + input.ideal_time <= input.time_left) {
    return std::nullopt;
  }
  const Duration excess = wait + input.ideal_time - input.whole_time;
  return std::max(least, std::min(excess, kMaxRetryTime));
}

}  // namespace kingcupdrift
