#include "kingcupdrift/routing/engine_timing.h"

#include <doctest/doctest.h>

namespace kingcupdrift {
namespace {

using std::chrono::microseconds;

EngineTiming MakeTiming() {
  EngineTiming timing;
  timing.steps_per_iteration = 50;
  timing.base_step_time = microseconds(1000);
  timing.step_us_per_stream = 10;
  timing.step_us_per_context_token = 0.001;
  timing.prefill_us_per_token = 5;
  timing.prefill_us_per_token_pair = 0.0001;
  return timing;
}

TEST_CASE(
    "prefill time grows linearly and quadratically with the prompt length") {
  // 1,000 tokens: 5 ms, and half a million pairs: 0.05 ms.
  CHECK(MakeTiming().EstimatePrefillTime(TokenCount(1000)) ==
        microseconds(5050));
  // 100,000 tokens: 500 ms, and 5,000 million pairs: 500 ms.
  CHECK(MakeTiming().EstimatePrefillTime(TokenCount(100'000)) ==
        microseconds(1'000'000));
}

TEST_CASE(
    "iteration time grows with the steps, the streams and their context") {
  CHECK(MakeTiming().EstimateIterationTime(0, TokenCount(0)) ==
        Duration::zero());
  // 50 steps of 1000 + 2 * 10 + 100,000 * 0.001 microseconds.
  CHECK(MakeTiming().EstimateIterationTime(2, TokenCount(100'000)) ==
        microseconds(56'000));
}

}  // namespace
}  // namespace kingcupdrift
