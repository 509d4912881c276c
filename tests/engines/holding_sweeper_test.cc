#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <vector>

#include "tests/engines/engines_harness.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct FixedView : SweepView {
  std::vector<InstanceId> LiveInstances() const override { return live; }
  bool IsInUse(const AttemptId& attempt) const override {
    return in_use.contains(attempt);
  }
  std::vector<InstanceId> live;
  std::set<AttemptId> in_use;
};

/// One entry that sweeps engines.
struct SweepingEntry {
  SweepingEntry(EnginesHarness& harness, const std::string& instance)
      : client(OwnedBy(instance), harness.fleet, harness.clock),
        sweeper(harness.clock, client, view, InstanceId(instance)) {
    view.live = {InstanceId("i1"), InstanceId("i2"), InstanceId("i3")};
    sweeper.SetEngines(harness.Addresses());
  }

  FixedView view;
  fakes::FakeEngineClient client;
  HoldingSweeper sweeper;
};

void Reserve(EnginesHarness& harness,
             int engine,
             const std::string& owner,
             Duration time_to_live) {
  ReservationRequest request;
  request.id = ReservationId("r-" + owner);
  request.owner = InstanceId(owner);
  request.attempt = AttemptId("a-" + owner);
  request.tokens = TokenCount(100);
  request.time_to_live = time_to_live;
  REQUIRE(harness.model(engine).Reserve(request));
}

TEST_CASE(
    "Every engine is swept by two of three entries "
    "[engines]") {
  EnginesHarness harness(30);
  SweepingEntry first(harness, "i1");
  SweepingEntry second(harness, "i2");
  SweepingEntry third(harness, "i3");
  for (int n = 0; n < 30; ++n) {
    int sweepers = 0;
    for (SweepingEntry* it : {&first, &second, &third}) {
      sweepers += it->sweeper.IsResponsibleFor(harness.Id(n)) ? 1 : 0;
    }
    CHECK(sweepers == 2);
  }
}

TEST_CASE("Only the memory of a dead entry is freed [engines]") {
  EnginesHarness harness(1);
  SweepingEntry first(harness, "i1");
  SweepingEntry second(harness, "i2");
  SweepingEntry third(harness, "i3");
  for (SweepingEntry* it : {&first, &second, &third}) {
    it->sweeper.Start();
  }
  Reserve(harness, 0, "dead", seconds(3600));
  Reserve(harness, 0, "i2", seconds(3600));
  harness.clock.Advance(seconds(20));
  CHECK(harness.Held() == 200);
  harness.clock.Advance(seconds(30));
  CHECK(harness.Held() == 100);
  CHECK(harness.model(0).ListHoldings().front().owner == InstanceId("i2"));
}

TEST_CASE("An owner that becomes live again keeps its memory [engines]") {
  EnginesHarness harness(1);
  SweepingEntry entry(harness, "i1");
  entry.view.live = {InstanceId("i1")};
  entry.sweeper.Start();
  Reserve(harness, 0, "i2", seconds(3600));
  harness.clock.Advance(seconds(25));
  entry.view.live.emplace_back("i2");
  harness.clock.Advance(seconds(10));
  entry.view.live.pop_back();
  harness.clock.Advance(seconds(25));
  CHECK(harness.Held() == 100);
}

TEST_CASE("Expired memory of a live owner is freed [engines]") {
  EnginesHarness harness(1);
  SweepingEntry entry(harness, "i1");
  entry.view.live = {InstanceId("i1")};
  entry.sweeper.Start();
  Reserve(harness, 0, "i1", seconds(10));
  harness.clock.Advance(seconds(9));
  CHECK(harness.Held() == 100);
  harness.clock.Advance(seconds(15));
  CHECK(harness.Held() == 0);
  CHECK(entry.sweeper.counters().released_expired == 1);
}

TEST_CASE("Memory of an attempt that this entry serves is kept [engines]") {
  EnginesHarness harness(1);
  SweepingEntry entry(harness, "i1");
  entry.view.live = {InstanceId("i1")};
  entry.view.in_use = {AttemptId("a-dead")};
  entry.sweeper.Start();
  Reserve(harness, 0, "dead", seconds(3600));
  harness.clock.Advance(seconds(120));
  CHECK(harness.Held() == 100);
  entry.view.in_use.clear();
  harness.clock.Advance(seconds(10));
  CHECK(harness.Held() == 0);
}

TEST_CASE(
    "The next sweep repeats a release that was lost "
    "[engines]") {
  EnginesHarness harness(1);
  SweepingEntry entry(harness, "i1");
  entry.view.live = {InstanceId("i1")};
  Reserve(harness, 0, "i1", seconds(1));
  harness.clock.Advance(seconds(5));
  harness.fleet.SetFault(harness.Id(0), {.is_down = true});
  entry.sweeper.Start();
  harness.clock.Advance(seconds(20));
  CHECK(harness.Held() == 100);
  harness.fleet.ClearFault(harness.Id(0));
  harness.clock.Advance(seconds(10));
  CHECK(harness.Held() == 0);
}

TEST_CASE(
    "Memory of entries that die while reserving is freed in a minute "
    "[engines]") {
  constexpr std::uint64_t kSeeds = 50;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    EnginesHarness harness(4);
    SweepingEntry sweeping(harness, "i1");
    sweeping.view.live = {InstanceId("i1")};
    sweeping.sweeper.Start();
    for (int n = 0; n < 10; ++n) {
      const std::string owner = fmt::format("victim{}", n);
      fakes::FakeEngineClient client(OwnedBy(owner), harness.fleet,
                                     harness.clock);
      GroupReserver reserver(harness.clock, harness.random, client,
                             InstanceId(owner));
      if (random.NextBelow(3) == 0) {
        harness.fleet.LoseNextReply(harness.Id(random.NextBelow(4)));
      }
      const ReservationId id = reserver.Acquire(
          AttemptId(owner), harness.Members({0, 1, 2, 3}, 300),
          harness.clock.Now() + seconds(5), [](const Result<void>&) {},
          [](const Error&) {});
      harness.clock.Advance(milliseconds(random.NextBelow(8)));
      if (random.NextBelow(2) == 0) {
        reserver.Release(id);
      }
      harness.clock.Advance(milliseconds(random.NextBelow(3000)));
    }
    harness.clock.Advance(seconds(60));
    CHECK(harness.Held() == 0);
  }
}

}  // namespace
}  // namespace kingcupdrift
