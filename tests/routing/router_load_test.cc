#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "tests/fakes/load_simulation.h"

namespace kingcupdrift {
namespace {

using fakes::LoadSimulationOptions;
using fakes::LoadSimulationResult;
using std::chrono::seconds;

double Percentile(std::vector<double> values, double share) {
  REQUIRE(!values.empty());
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

std::uint64_t CountMissedDeadlines(const LoadSimulationResult& result) {
  std::uint64_t missed_deadline = 0;
  for (const fakes::PromptLengthBandResult& band : result.bands) {
    missed_deadline += band.missed_deadline;
  }
  return missed_deadline;
}

LoadSimulationOptions Options(double load) {
  LoadSimulationOptions options;
  options.offered_rate =
      load * fakes::MeasureEngineCapacity(options) * options.engines;
  return options;
}

TEST_CASE(
    "At 80% load the first-token p99 of short prompts is at most half of that "
    "with least in flight, and no request misses its deadline [routing]") {
  LoadSimulationOptions options = Options(0.8);
  const LoadSimulationResult cost = fakes::SimulateLoad(options);
  options.policy = RoutingPolicyKind::kLeastInFlight;
  const LoadSimulationResult baseline = fakes::SimulateLoad(options);
  CHECK(Percentile(cost.bands[0].first_token, 0.99) <=
        0.5 * Percentile(baseline.bands[0].first_token, 0.99));
  CHECK(CountMissedDeadlines(cost) == 0);
}

TEST_CASE(
    "Prompts larger than one engine's memory complete under load "
    "[routing]") {
  LoadSimulationOptions options = Options(0.8);
  options.workload.long_share = 0.06;
  options.offered_rate = Options(0.7).offered_rate;
  const LoadSimulationResult result = fakes::SimulateLoad(options);
  const fakes::PromptLengthBandResult& band =
      result.bands[fakes::kPromptLengthBands - 1];
  CHECK(band.offered > 50);
  CHECK(band.refused == 0);
  CHECK(band.missed_deadline == 0);
}

TEST_CASE(
    "After the loss of a failure domain at 80% load, goodput is at least 90% "
    "of the remaining capacity [routing]") {
  LoadSimulationOptions options = Options(0.8);
  options.domain_loss_time = options.warm_up;
  const LoadSimulationResult result = fakes::SimulateLoad(options);
  // Two thirds of the engines remain for 80% of the work: all of them are busy.
  const double remaining_capacity = options.offered_rate / 0.8 * 2 / 3;
  CAPTURE(result.goodput / remaining_capacity);
  CHECK(result.goodput >= 0.9 * remaining_capacity);
  CAPTURE(result.retries);
  std::uint64_t offered = 0;
  for (const fakes::PromptLengthBandResult& band : result.bands) {
    offered += band.offered;
  }
  CHECK(static_cast<double>(result.retries) <=
        0.1 * static_cast<double>(offered) + 6 * RetryBudget::kMaxSavedRetries);
}

}  // namespace
}  // namespace kingcupdrift
