#include "kingcupdrift/routing/routing.h"

#include <doctest/doctest.h>

#include <set>

#include "tests/routing/routing_harness.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE(
    "A service that is unknown or has no engines returns an error [routing]") {
  RoutingHarness harness(0);
  RouteRequest request = harness.MakeRequest(1000);
  CHECK(harness.router.Choose(request).error().code == ErrorCode::kUnavailable);
  request.service = ServiceId("other");
  CHECK(harness.router.Choose(request).error().code == ErrorCode::kNotFound);
}

TEST_CASE("Requests sent since the last report count as load [routing]") {
  RoutingHarness harness(2);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  harness.Dispatch(harness.MakeRequest(50'000), 0);
  const auto route = harness.router.Choose(harness.MakeRequest(60'000));
  REQUIRE(route);
  CHECK(route->members.front().engine.id == RoutingHarness::MakeEngineId(1));
}

TEST_CASE("An attempt that the report counts is not counted twice [routing]") {
  RoutingHarness harness(1);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  const RouteRequest sent = harness.MakeRequest(50'000);
  harness.Dispatch(sent, 0);
  EngineReport report = RoutingHarness::MakeIdleReport();
  report.sequence = 1;
  report.waiting_prefill_tokens = TokenCount(50'000);
  report.waiting_requests = 1;
  report.counted_attempts = {sent.attempt};
  harness.ReportAll(report);
  CHECK(harness.router.GetServiceLoad(sent.service).waiting_prefill ==
        TokenCount(50'000));
}

TEST_CASE(
    "The backlog drains at the learned prefill rate between reports "
    "[routing]") {
  RoutingHarness harness(1);
  EngineReport report = RoutingHarness::MakeIdleReport();
  report.waiting_prefill_tokens = TokenCount(50'000);
  report.age = milliseconds(500);
  harness.ReportAll(report);
  harness.clock.Advance(milliseconds(500));
  CHECK(harness.router.GetServiceLoad(ServiceId("lm")).waiting_prefill ==
        TokenCount(40'000));
}

TEST_CASE(
    "An engine whose reports fail is excluded until it reports again "
    "[routing]") {
  RoutingHarness harness(2);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  const EngineId silent_engine = RoutingHarness::MakeEngineId(0);
  harness.router.OnReportFailed(silent_engine);
  CHECK(harness.router.IsUsable(silent_engine));
  harness.router.OnReportFailed(silent_engine);
  CHECK_FALSE(harness.router.IsUsable(silent_engine));
  for (int i = 0; i < 20; ++i) {
    const auto route = harness.router.Choose(harness.MakeRequest(1000));
    REQUIRE(route);
    CHECK(route->members.front().engine.id == RoutingHarness::MakeEngineId(1));
  }
  harness.router.OnReport(silent_engine, RoutingHarness::MakeIdleReport());
  CHECK(harness.router.IsUsable(silent_engine));
}

TEST_CASE("An engine with a stale report is avoided [routing]") {
  RoutingHarness harness(2);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  harness.clock.Advance(seconds(5));
  EngineReport busy = RoutingHarness::MakeIdleReport();
  busy.sequence = 1;
  busy.waiting_prefill_tokens = TokenCount(10'000);
  harness.router.OnReport(RoutingHarness::MakeEngineId(1), busy);
  const auto route = harness.router.Choose(harness.MakeRequest(20'000));
  REQUIRE(route);
  CHECK(route->members.front().engine.id == RoutingHarness::MakeEngineId(1));
}

TEST_CASE(
    "The report of a rarely polled engine is not stale between polls "
    "[routing]") {
  RoutingHarness harness(2);
  EngineReport busy = RoutingHarness::MakeIdleReport();
  busy.waiting_prefill_tokens = TokenCount(10'000);
  EngineReport idle = RoutingHarness::MakeIdleReport();
  for (int i = 0; i < 10; ++i) {
    busy.sequence = static_cast<std::uint64_t>(i);
    idle.sequence = busy.sequence;
    harness.router.OnReport(RoutingHarness::MakeEngineId(0), idle);
    harness.clock.Advance(seconds(4));
    harness.router.OnReport(RoutingHarness::MakeEngineId(1), busy);
  }
  // The idle engine's last report is 4 s old, its usual gap between reports.
  const auto route = harness.router.Choose(harness.MakeRequest(20'000));
  REQUIRE(route);
  CHECK(route->members.front().engine.id == RoutingHarness::MakeEngineId(0));
}

TEST_CASE(
    "Short prompts get a higher engine priority than long ones, and "
    "long ones precede requests that arrive much later [routing]") {
  RoutingHarness harness(1);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  const auto long_route = harness.router.Choose(harness.MakeRequest(100'000));
  const auto short_route = harness.router.Choose(harness.MakeRequest(1000));
  REQUIRE(long_route);
  REQUIRE(short_route);
  CHECK(short_route->engine_priority > long_route->engine_priority);
  harness.clock.Advance(seconds(300));
  const auto late = harness.router.Choose(harness.MakeRequest(1000));
  REQUIRE(late);
  CHECK(late->engine_priority < long_route->engine_priority);
}

TEST_CASE(
    "A cached prefix attracts a request unless the wait there is longer "
    "[routing]") {
  RoutingHarness harness(4);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  RouteRequest request = harness.MakeRequest(40'000);
  request.block_digests = {1, 2, 3, 4};
  CacheEventBatch batch;
  batch.events = {{1, true, 1}, {2, true, 2}, {3, true, 3}};
  batch.last_sequence = 3;
  harness.router.OnCacheEvents(RoutingHarness::MakeEngineId(2), batch);
  const auto route = harness.router.Choose(request);
  REQUIRE(route);
  CHECK(route->members.front().engine.id == RoutingHarness::MakeEngineId(2));
  CHECK(route->estimate.cached == TokenCount(30'000));
  harness.Dispatch(harness.MakeRequest(35'000), 2);
  const auto other = harness.router.Choose(request);
  REQUIRE(other);
  CHECK(other->members.front().engine.id != RoutingHarness::MakeEngineId(2));
}

TEST_CASE(
    "A prompt larger than one engine's memory gets the smallest group "
    "[routing]") {
  RoutingHarness harness(4);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  const auto route = harness.router.Choose(harness.MakeRequest(1'000'000));
  REQUIRE(route);
  CHECK(route->members.size() == 3);
  TokenCount held;
  for (const RouteMember& member : route->members) {
    held += member.tokens;
  }
  CHECK(held >= TokenCount(1'000'100));
  const auto too_large = harness.router.Choose(harness.MakeRequest(1'700'000));
  CHECK(too_large.error().code == ErrorCode::kRefused);
}

TEST_CASE(
    "A prompt that fits no group now is overloaded, not refused [routing]") {
  RoutingHarness harness(3);
  EngineReport full = RoutingHarness::MakeIdleReport();
  full.free_memory = TokenCount(100'000);
  harness.ReportAll(full);
  CHECK(harness.router.Choose(harness.MakeRequest(1'000'000)).error().code ==
        ErrorCode::kOverloaded);
}

TEST_CASE(
    "Notes of other entries count as load until a report covers them "
    "[routing]") {
  RoutingHarness harness(1);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  harness.Dispatch(harness.MakeRequest(1'000), 0);
  const std::vector<DispatchNote> own = harness.router.TakeDispatchNotes();
  REQUIRE(own.size() == 1);
  CHECK(own.front().prefill == TokenCount(1'000));
  CHECK(harness.router.TakeDispatchNotes().empty());

  DispatchNote note = own.front();
  note.attempt = AttemptId("of another entry");
  note.prefill = TokenCount(50'000);
  harness.router.OnDispatchNotes({note});
  harness.router.OnDispatchNotes({note});
  CHECK(harness.router.GetServiceLoad(ServiceId("lm")).waiting_prefill ==
        TokenCount(51'000));
  EngineReport report = RoutingHarness::MakeIdleReport();
  report.sequence = 1;
  report.counted_attempts = {note.attempt};
  report.waiting_prefill_tokens = TokenCount(40'000);
  harness.ReportAll(report);
  harness.router.OnDispatchNotes({note});
  CHECK(harness.router.GetServiceLoad(ServiceId("lm")).waiting_prefill ==
        TokenCount(41'000));
}

TEST_CASE(
    "A note that reports do not cover is dropped by a later report [routing]") {
  RoutingHarness harness(1);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  DispatchNote note;
  note.engine = RoutingHarness::MakeEngineId(0);
  note.attempt = AttemptId("of a crashed entry");
  note.prefill = TokenCount(50'000);
  harness.router.OnDispatchNotes({note});
  harness.clock.Advance(seconds(1));
  EngineReport report = RoutingHarness::MakeIdleReport();
  report.sequence = 1;
  harness.ReportAll(report);
  CHECK(harness.router.GetServiceLoad(ServiceId("lm")).waiting_prefill ==
        TokenCount(0));
}

TEST_CASE("A request that cannot meet its deadline gets no engine [routing]") {
  RoutingHarness harness(2);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  RouteRequest request = harness.MakeRequest(100'000);
  request.deadline = harness.clock.Now() + seconds(5);
  CHECK(harness.router.Choose(request).error().code ==
        ErrorCode::kDeadlineExceeded);
}

TEST_CASE("Engines that failed a request are not chosen again [routing]") {
  RoutingHarness harness(2);
  harness.ReportAll(RoutingHarness::MakeIdleReport());
  RouteRequest request = harness.MakeRequest(1000);
  request.excluded = {RoutingHarness::MakeEngineId(0)};
  for (int i = 0; i < 20; ++i) {
    const auto route = harness.router.Choose(request);
    REQUIRE(route);
    CHECK(route->members.front().engine.id == RoutingHarness::MakeEngineId(1));
  }
}

TEST_CASE(
    "A large fleet gives a stable subset over all failure domains "
    "[routing]") {
  RoutingHarness harness(300);
  const auto subset = harness.router.Subset();
  CHECK(subset.size() == 64);
  std::set<FailureDomain> domains;
  for (const EngineAddress& engine : subset) {
    domains.insert(harness.config.engines[engine.id].failure_domain);
  }
  CHECK(domains.size() == 3);
  std::set<EngineId> before;
  for (const EngineAddress& engine : subset) {
    before.insert(engine.id);
  }
  harness.config.engines.erase(subset.front().id);
  harness.router.ApplyConfig(harness.config);
  std::size_t kept = 0;
  for (const EngineAddress& engine : harness.router.Subset()) {
    kept += before.contains(engine.id) ? 1 : 0;
  }
  CHECK(kept == 63);
}

}  // namespace
}  // namespace kingcupdrift
