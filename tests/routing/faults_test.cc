#include "kingcupdrift/routing/routing.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <set>

#include "tests/fakes/manual_clock.h"
#include "tests/routing/routing_harness.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Retries stay within a share of the first attempts [routing]") {
  RetryBudget budget(0.1);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstTry();
    retries += budget.TakeRetry() ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 100 + static_cast<int>(RetryBudget::kMaxSavedRetries));
}

TEST_CASE(
    "A service without retries saves up only a limited retry budget "
    "[routing]") {
  RetryBudget budget(1);
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstTry();
  }
  int retries = 0;
  while (budget.TakeRetry()) {
    ++retries;
  }
  CHECK(retries <= static_cast<int>(RetryBudget::kMaxSavedRetries));
}

TEST_CASE("Retry delays grow, differ, and stay bounded [routing]") {
  SeededRandom random(3);
  std::set<Duration> seen;
  for (int retry = 1; retry < 60; ++retry) {
    const Duration delay = ComputeRetryDelay(retry, random);
    CHECK(delay > Duration::zero());
    CHECK(delay <= kMaxRetryDelay + Duration(1));
    seen.insert(delay);
  }
  CHECK(seen.size() > 50);
  CHECK(ComputeRetryDelay(1, random) <= kMinRetryDelay + Duration(1));
}

std::set<EngineId> EngineSet(int n) {
  std::set<EngineId> engines;
  for (int i = 0; i < n; ++i) {
    engines.insert(RoutingHarness::MakeEngineId(i));
  }
  return engines;
}

void ReportFaultsToEject(OutlierEjector& ejector, const EngineId& engine) {
  for (int i = 0; i < OutlierEjector::kFaultsToEject; ++i) {
    ejector.OnFault(engine);
  }
}

TEST_CASE("Ejection never exceeds the allowed share of engines [routing]") {
  fakes::ManualClock clock;
  OutlierEjector ejector(clock, 0.3);
  ejector.SetEngines(EngineSet(10));
  for (int i = 0; i < 10; ++i) {
    ReportFaultsToEject(ejector, RoutingHarness::MakeEngineId(i));
  }
  CHECK(ejector.EjectedCount() == 3);
}

TEST_CASE(
    "An ejected engine returns, and is ejected for longer if it fails again "
    "[routing]") {
  fakes::ManualClock clock;
  OutlierEjector ejector(clock, 0.5);
  ejector.SetEngines(EngineSet(4));
  const EngineId engine = RoutingHarness::MakeEngineId(0);
  ReportFaultsToEject(ejector, engine);
  CHECK(ejector.IsEjected(engine));
  clock.Advance(OutlierEjector::kMinEjection);
  CHECK_FALSE(ejector.IsEjected(engine));
  ejector.OnFault(engine);
  CHECK(ejector.IsEjected(engine));
  clock.Advance(OutlierEjector::kMinEjection);
  CHECK(ejector.IsEjected(engine));
  clock.Advance(OutlierEjector::kMinEjection);
  CHECK_FALSE(ejector.IsEjected(engine));
  ejector.OnSuccess(engine);
  ejector.OnFault(engine);
  CHECK_FALSE(ejector.IsEjected(engine));
}

TEST_CASE(
    "Faults that alternate with successes do not eject an engine [routing]") {
  fakes::ManualClock clock;
  OutlierEjector ejector(clock, 0.5);
  ejector.SetEngines(EngineSet(4));
  for (int i = 0; i < 20; ++i) {
    ejector.OnFault(RoutingHarness::MakeEngineId(0));
    ejector.OnSuccess(RoutingHarness::MakeEngineId(0));
  }
  CHECK_FALSE(ejector.HasEjected());
}

TEST_CASE(
    "Only short idempotent calls are hedged, at the 95th percentile of times "
    "[routing]") {
  HedgePolicy hedge;
  CHECK_FALSE(hedge.ComputeHedgeDelay(true, TokenCount(1'000)));
  for (int i = 1; i <= 100; ++i) {
    hedge.OnAnswered(milliseconds(i));
  }
  CHECK_FALSE(hedge.ComputeHedgeDelay(false, TokenCount(1'000)));
  CHECK_FALSE(hedge.ComputeHedgeDelay(true, TokenCount(50'000)));
  const auto delay = hedge.ComputeHedgeDelay(true, TokenCount(1'000));
  REQUIRE(delay);
  CHECK(*delay >= milliseconds(90));
  CHECK(*delay <= milliseconds(96));
}

}  // namespace
}  // namespace kingcupdrift
