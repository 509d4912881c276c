#include "kingcupdrift/routing/engine_timing.h"

#include <doctest/doctest.h>

namespace kingcupdrift {
namespace {

using std::chrono::microseconds;

EngineTiming Timing() {
  EngineTiming timing;
  timing.steps_per_iteration = 50;
  timing.base_step_time = microseconds(1000);
  timing.step_us_per_stream = 10;
  timing.step_us_per_context_token = 0.001;
  timing.prefill_us_per_token = 5;
  timing.prefill_us_per_token_pair = 0.0001;
  return timing;
}

TEST_CASE("reading grows with the tokens and with the square of them") {
  // 1,000 tokens: 5 ms, and half a million pairs: 0.05 ms.
  CHECK(Timing().EstimatePrefillTime(TokenCount(1000)) == microseconds(5050));
  // 100,000 tokens: 500 ms, and 5,000 million pairs: 500 ms.
  CHECK(Timing().EstimatePrefillTime(TokenCount(100'000)) ==
        microseconds(1'000'000));
}

TEST_CASE("a pass takes its steps, with each stream and its context") {
  CHECK(Timing().EstimateIterationTime(0, TokenCount(0)) == Duration::zero());
  // 50 steps of 1000 + 2 * 10 + 100,000 * 0.001 microseconds.
  CHECK(Timing().EstimateIterationTime(2, TokenCount(100'000)) ==
        microseconds(56'000));
}

}  // namespace
}  // namespace kingcupdrift
