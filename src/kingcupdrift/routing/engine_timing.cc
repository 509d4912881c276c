#include "kingcupdrift/routing/engine_timing.h"

namespace kingcupdrift {
namespace {

Duration FromMicroseconds(double us) {
  return Duration(static_cast<Duration::rep>(us));
}

}  // namespace

Duration EngineTiming::EstimatePrefillTime(TokenCount prompt) const {
  const auto tokens = static_cast<double>(prompt.value());
  const double pairs = tokens * tokens / 2;
  return FromMicroseconds(tokens * prefill_us_per_token +
                          pairs * prefill_us_per_token_pair);
}

Duration EngineTiming::EstimateIterationTime(int streams,
                                             TokenCount context) const {
  if (streams <= 0) {
    return Duration::zero();
  }
  const double step_us =
      static_cast<double>(base_step_time.count()) +
      streams * step_us_per_stream +
      static_cast<double>(context.value()) * step_us_per_context_token;
  return FromMicroseconds(steps_per_iteration * step_us);
}

}  // namespace kingcupdrift
