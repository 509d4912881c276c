#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/engines/engines_harness.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/freezable_clock.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kLeaseKey = "placement/lease";

SiteConfig OneService(int engines, const std::string& version) {
  SiteConfig config;
  ServiceConfig service;
  service.id = ServiceId("horno-modelo");
  service.model = "horno";
  service.version = version;
  config.services[service.id] = service;
  for (int n = 0; n < engines; ++n) {
    EngineConfig engine;
    engine.id = EngineId(fmt::format("e{}", n));
    engine.service = service.id;
    config.engines[engine.id] = engine;
  }
  return config;
}

/// One entry that may place models; its clock can be frozen like that of a
/// paused process.
struct PlacingEntry {
  PlacingEntry(EnginesHarness& harness,
               fakes::StoreModel& model,
               const std::string& instance,
               std::uint64_t seed)
      : clock(harness.clock),
        random(seed),
        store({}, model, clock),
        client(OwnedBy(instance), harness.fleet, clock),
        lease(clock, random, store, kLeaseKey, InstanceId(instance)),
        controller(clock, client, lease) {}

  void Start(const SiteConfig& config) {
    controller.SetConfig(config);
    controller.Start();
    lease.Start([](bool) {});
  }

  fakes::FreezableClock clock;
  SeededRandom random;
  fakes::FakeStore store;
  fakes::FakeEngineClient client;
  LeaseKeeper lease;
  PlacementController controller;
};

TEST_CASE(
    "One entry holds the lease and reconciles the engines "
    "[engines]") {
  EnginesHarness harness(3);
  fakes::StoreModel store(harness.clock);
  PlacingEntry first(harness, store, "i1", 1);
  PlacingEntry second(harness, store, "i2", 2);
  const SiteConfig config = OneService(3, "v1");
  first.Start(config);
  second.Start(config);
  harness.clock.Advance(seconds(30));
  CHECK(first.lease.IsHeld() != second.lease.IsHeld());
  CHECK(first.controller.reconciled_engines() +
            second.controller.reconciled_engines() ==
        3);
  for (int n = 0; n < 3; ++n) {
    CHECK(harness.model(n).counters().orders.back().version == "v1");
  }
  PlacingEntry& holder = first.lease.IsHeld() ? first : second;
  holder.controller.SetConfig(OneService(3, "v2"));
  harness.clock.Advance(seconds(3));
  CHECK(harness.model(0).counters().orders.back().version == "v2");
}

/// A clock whose timers fire early, like those of an event loop that counts
/// delays from the start of its iteration.
class EarlyClock : public Clock {
 public:
  explicit EarlyClock(Clock& base) : base_(base) {}
  MonotonicTime Now() const override { return base_.Now(); }
  WallTime WallNow() const override { return base_.WallNow(); }
  std::unique_ptr<Timer> RunAfter(Duration delay,
                                  std::function<void()> callback) override {
    // Short delays are not shortened, or they would become zero and the manual
    // clock would never advance.
    const Duration early = delay > kEarly ? kEarly : Duration::zero();
    return base_.RunAfter(delay - early, std::move(callback));
  }

 private:
  static constexpr Duration kEarly = milliseconds(1);

  Clock& base_;
};

TEST_CASE(
    "A holder is notified of its lease when timers fire early "
    "[engines]") {
  fakes::ManualClock clock;
  EarlyClock early(clock);
  fakes::StoreModel model(clock);
  fakes::FakeStore store({}, model, clock);
  SeededRandom random(1);
  LeaseKeeper lease(early, random, store, kLeaseKey, InstanceId("i1"));
  bool is_notified = false;
  lease.Start([&](bool is_held) { is_notified = is_held; });
  clock.Advance(seconds(12));
  CHECK(lease.IsHeld());
  CHECK(is_notified);
}

TEST_CASE(
    "A holder that is frozen until its lease expires sends no more orders "
    "[engines]") {
  for (const bool is_enforced : {true, false}) {
    CAPTURE(is_enforced);
    EnginesHarness harness(2, is_enforced);
    fakes::StoreModel store(harness.clock);
    PlacingEntry first(harness, store, "i1", 1);
    first.Start(OneService(2, "v1"));
    harness.clock.Advance(seconds(20));
    REQUIRE(first.lease.IsHeld());
    const FencingNumber old_fence = first.lease.fencing_number();
    first.clock.Freeze();
    PlacingEntry second(harness, store, "i2", 2);
    second.Start(OneService(2, "v2"));
    REQUIRE(harness.clock.AdvanceUntil(
        [&] { return second.controller.reconciled_engines() == 2; },
        seconds(120)));
    CHECK(second.lease.fencing_number() > old_fence);
    first.clock.Thaw();
    harness.clock.Advance(seconds(5));
    CHECK(!first.lease.IsHeld());
    for (int n = 0; n < 2; ++n) {
      CHECK(harness.model(n).counters().orders.back().version == "v2");
    }
  }
}

TEST_CASE(
    "A late old order is refused or its effect repaired "
    "[engines]") {
  for (const bool is_enforced : {true, false}) {
    CAPTURE(is_enforced);
    EnginesHarness harness(1, is_enforced);
    fakes::StoreModel store(harness.clock);
    PlacingEntry entry(harness, store, "i1", 1);
    entry.Start(OneService(1, "v2"));
    REQUIRE(harness.clock.AdvanceUntil(
        [&] { return entry.controller.reconciled_engines() == 1; },
        seconds(60)));
    PlacementOrder late;
    late.fencing_number = FencingNumber(0);
    late.model = "horno";
    late.version = "v1";
    CHECK(harness.model(0).ApplyPlacementOrder(late).has_value() ==
          !is_enforced);
    harness.clock.Advance(seconds(65));
    CHECK(harness.model(0).counters().orders.back().version == "v2");
  }
}

TEST_CASE(
    "In an outage the lease is given up before it can expire in the store "
    "[engines]") {
  EnginesHarness harness(1);
  fakes::StoreModel store(harness.clock);
  PlacingEntry entry(harness, store, "i1", 1);
  entry.Start(OneService(1, "v1"));
  harness.clock.Advance(seconds(20));
  REQUIRE(entry.lease.IsHeld());
  store.SetFault({.is_down = true});
  harness.clock.Advance(LeaseOptions().time_to_live);
  CHECK(!entry.lease.IsHeld());
  CHECK(entry.lease.fencing_number() == FencingNumber(0));
  store.SetFault({});
  CHECK(harness.clock.AdvanceUntil([&] { return entry.lease.IsHeld(); },
                                   seconds(60)));
}

TEST_CASE(
    "A lost reply or a late write while acquiring does not cause a second "
    "holder [engines]") {
  for (const bool is_late : {true, false}) {
    CAPTURE(is_late);
    EnginesHarness harness(1);
    fakes::StoreModel store(harness.clock);
    PlacingEntry first(harness, store, "i1", 1);
    PlacingEntry second(harness, store, "i2", 2);
    const auto has_granted = [&] { return store.counters().writes >= 1; };
    first.Start(OneService(1, "v1"));
    REQUIRE(harness.clock.AdvanceUntil(has_granted, seconds(10)));
    if (is_late) {
      store.DelayWrites(1, seconds(6));
    } else {
      store.LoseReplies(1);
    }
    second.Start(OneService(1, "v1"));
    for (int n = 0; n < 1200; ++n) {
      harness.clock.Advance(milliseconds(100));
      CHECK(!(first.lease.IsHeld() && second.lease.IsHeld()));
    }
    CHECK((first.lease.IsHeld() || second.lease.IsHeld()));
  }
}

TEST_CASE("Random pauses and faults never cause two holders [engines]") {
  constexpr std::uint64_t kSeeds = 100;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    EnginesHarness harness(2);
    fakes::StoreModel store(harness.clock);
    std::vector<std::unique_ptr<PlacingEntry>> entries;
    for (int n = 0; n < 3; ++n) {
      entries.push_back(std::make_unique<PlacingEntry>(
          harness, store, fmt::format("i{}", n), seed * 10 + n));
      entries.back()->Start(OneService(2, "v1"));
    }
    for (int n = 0; n < 120; ++n) {
      PlacingEntry& entry = *entries[random.NextBelow(3)];
      switch (random.NextBelow(8)) {
        case 0:
          entry.clock.Freeze();
          break;
        case 1:
        case 2:
          entry.clock.Thaw();
          break;
        case 3:
          store.LoseReplies(1);
          break;
        case 4:
          store.DelayWrites(1, milliseconds(random.NextBelow(10000)));
          break;
        case 5:
          store.SetFault({.is_down = random.NextBelow(3) == 0});
          break;
        default:
          break;
      }
      harness.clock.Advance(milliseconds(random.NextBelow(4000)));
      int holders = 0;
      for (const auto& it : entries) {
        holders += it->lease.IsHeld() ? 1 : 0;
      }
      CHECK(holders <= 1);
    }
    store.SetFault({});
    for (const auto& it : entries) {
      it->clock.Thaw();
    }
    const auto has_holder = [&] {
      return entries[0]->lease.IsHeld() || entries[1]->lease.IsHeld() ||
             entries[2]->lease.IsHeld();
    };
    CHECK(harness.clock.AdvanceUntil(has_holder, seconds(120)));
  }
}

}  // namespace
}  // namespace kingcupdrift
