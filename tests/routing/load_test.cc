#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "tests/fakes/load_run.h"

namespace kingcupdrift {
namespace {

using fakes::LoadRunOptions;
using fakes::LoadRunResult;
using std::chrono::seconds;

double Percentile(std::vector<double> values, double share) {
  REQUIRE(!values.empty());
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

std::uint64_t LateRequests(const LoadRunResult& result) {
  std::uint64_t late = 0;
  for (const fakes::LoadBandResult& band : result.bands) {
    late += band.late;
  }
  return late;
}

LoadRunOptions Options(double load) {
  LoadRunOptions options;
  options.offered_rate =
      load * fakes::MeasureEngineCapacity(options) * options.engines;
  return options;
}

TEST_CASE(
    "At 80% load short prompts keep at most half of the first-token "
    "p99 of least in flight, and nothing is late [routing]") {
  LoadRunOptions options = Options(0.8);
  const LoadRunResult cost = fakes::RunLoad(options);
  options.policy = RoutingPolicyKind::kLeastInFlight;
  const LoadRunResult baseline = fakes::RunLoad(options);
  CHECK(Percentile(cost.bands[0].first_token, 0.99) <=
        0.5 * Percentile(baseline.bands[0].first_token, 0.99));
  CHECK(LateRequests(cost) == 0);
}

TEST_CASE(
    "The longest prompts, beyond one engine's memory, complete under "
    "load [routing]") {
  LoadRunOptions options = Options(0.8);
  options.workload.long_share = 0.06;
  options.offered_rate = Options(0.7).offered_rate;
  const LoadRunResult result = fakes::RunLoad(options);
  const fakes::LoadBandResult& band = result.bands[fakes::kLoadBands - 1];
  CHECK(band.offered > 50);
  CHECK(band.refused == 0);
  CHECK(band.late == 0);
}

TEST_CASE(
    "Losing a failure domain at 80% load leaves over 90% of what the "
    "rest can do [routing]") {
  LoadRunOptions options = Options(0.8);
  options.domain_loss = options.warm_up;
  const LoadRunResult result = fakes::RunLoad(options);
  // Two thirds of the engines against 80% of the work: all of them are busy.
  const double rest = options.offered_rate / 0.8 * 2 / 3;
  CAPTURE(result.goodput / rest);
  CHECK(result.goodput >= 0.9 * rest);
  CAPTURE(result.retries);
  std::uint64_t offered = 0;
  for (const fakes::LoadBandResult& band : result.bands) {
    offered += band.offered;
  }
  CHECK(static_cast<double>(result.retries) <=
        0.1 * static_cast<double>(offered) + 6 * RetryBudget::kMaxSavedRetries);
}

}  // namespace
}  // namespace kingcupdrift
