// Which engines are cold, by their records and their answers.

#include "kingcupdrift/forwarding/cold_target_tracker.h"

#include <doctest/doctest.h>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::seconds;

const EngineId kEngine("engine");
const ServiceId kService("model");
constexpr Duration kColdTime = seconds(3);

std::map<ServiceId, ColdLimit> Limits() {
  return {{kService, {kColdTime, {13, kMinColdWindow}}}};
}

TargetRecord Record(std::int64_t incarnation,
                    std::optional<Duration> left = std::nullopt) {
  TargetRecord record;
  record.address = {kEngine, {"10.0.0.1", 80}, Incarnation(incarnation)};
  record.service = kService;
  record.cold_left = left;
  return record;
}

struct TrackerFixture {
  TrackerFixture() { tracker.SetLimits(Limits()); }
  Duration left() const { return tracker.GetColdLeft(kEngine); }

  ManualClock clock;
  ColdTargetTracker tracker{clock};
};

TEST_CASE("a process first listed after the complete list is cold") {
  TrackerFixture fixture;
  fixture.tracker.UpdateRecord(Record(1), false);
  CHECK(fixture.left() == Duration::zero());
  fixture.tracker.SetListComplete();
  fixture.tracker.UpdateRecord(Record(1), false);
  CHECK(fixture.left() == Duration::zero());
  fixture.tracker.UpdateRecord(Record(2), false);
  CHECK(fixture.left() == kColdTime);
  fixture.clock.Advance(kColdTime);
  CHECK(fixture.left() == Duration::zero());
  // The record was lost and is back.
  fixture.tracker.Remove(kEngine);
  fixture.tracker.UpdateRecord(Record(2), false);
  CHECK(fixture.left() == Duration::zero());
  // Its record says that a new process is not cold.
  fixture.tracker.UpdateRecord(Record(3, Duration::zero()), false);
  CHECK(fixture.left() == Duration::zero());
}

TEST_CASE("a known process may be cold again, or no longer") {
  TrackerFixture fixture;
  fixture.tracker.UpdateRecord(Record(1), false);
  fixture.tracker.UpdateRecord(Record(1, seconds(2)), false);
  CHECK(fixture.left() == seconds(2));
  CHECK(fixture.tracker.CountCold() == 1);
  fixture.tracker.UpdateRecord(Record(1), false);
  CHECK(fixture.left() == seconds(2));
  // The longer time counts, whether the record or an answer says so.
  fixture.tracker.UpdateFromAnswer(Record(1).address, seconds(4));
  fixture.tracker.UpdateRecord(Record(1, Duration::zero()), false);
  CHECK(fixture.left() == seconds(4));
  fixture.tracker.UpdateFromAnswer(Record(1).address, Duration::zero());
  CHECK(fixture.left() == Duration::zero());
  // What another process or an older copy of the store says does not count.
  fixture.tracker.UpdateFromAnswer(Record(7).address, seconds(2));
  fixture.tracker.UpdateRecord(Record(0, seconds(2)), false);
  fixture.tracker.UpdateRecord(Record(1, seconds(2)), true);
  CHECK(fixture.left() == Duration::zero());
}

TEST_CASE("remaining times are clamped, and negative ones ignored") {
  TrackerFixture fixture;
  fixture.tracker.UpdateRecord(Record(1, std::chrono::hours(24)), false);
  CHECK(fixture.left() == ColdTargetTracker::kMaxColdTimeFactor * kColdTime);
  fixture.tracker.UpdateFromAnswer(Record(1).address, seconds(-1));
  CHECK(fixture.left() == ColdTargetTracker::kMaxColdTimeFactor * kColdTime);
  // What is known stays while the configuration sets no limit.
  fixture.tracker.SetLimits({});
  CHECK(fixture.left() == Duration::zero());
  fixture.tracker.SetLimits(Limits());
  CHECK(fixture.left() > Duration::zero());
}

}  // namespace
}  // namespace kingcupdrift::fakes
