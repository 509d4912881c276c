#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "tests/engines/engines_harness.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One entry's reserver and the results of its callbacks.
struct ReservingEntry {
  explicit ReservingEntry(EnginesHarness& harness, const std::string& instance)
      : harness(harness),
        client(std::make_unique<fakes::FakeEngineClient>(OwnedBy(instance),
                                                         harness.fleet,
                                                         harness.clock)),
        reserver(std::make_unique<GroupReserver>(harness.clock,
                                                 harness.random,
                                                 *client,
                                                 InstanceId(instance))) {}

  ReservationId Acquire(std::vector<GroupMember> members,
                        Duration limit = seconds(5)) {
    const auto index = answers.size();
    answers.emplace_back();
    return reserver->Acquire(
        AttemptId("a"), std::move(members), harness.clock.Now() + limit,
        [this, index](const Result<void>& answer) {
          answers[index] = answer ? std::optional<ErrorCode>()
                                  : std::optional(answer.error().code);
          ++answered;
          held += answer ? 1 : 0;
        },
        [this](const Error&) { ++lost; });
  }

  bool Settle(int n) {
    return harness.clock.AdvanceUntil([&] { return answered >= n; },
                                      seconds(30));
  }

  EnginesHarness& harness;
  std::unique_ptr<fakes::FakeEngineClient> client;
  std::unique_ptr<GroupReserver> reserver;
  std::vector<std::optional<ErrorCode>> answers;
  int answered = 0;
  int held = 0;
  int lost = 0;
};

TEST_CASE(
    "A group is held on all engines, renewed and released "
    "[engines]") {
  EnginesHarness harness(3);
  ReservingEntry entry(harness, "i1");
  const ReservationId id = entry.Acquire(harness.Members({2, 0, 1}, 600));
  CHECK(entry.Settle(1));
  CHECK(entry.held == 1);
  CHECK(harness.Held() == 1800);
  harness.clock.Advance(seconds(60));
  CHECK(entry.lost == 0);
  for (const EngineHolding& holding : harness.model(0).ListHoldings()) {
    CHECK(holding.time_left > Duration::zero());
  }
  entry.reserver->Release(id);
  harness.clock.Advance(seconds(1));
  CHECK(harness.Held() == 0);
  CHECK(entry.reserver->size() == 0);
}

TEST_CASE("A group that does not fit releases its reservations [engines]") {
  EnginesHarness harness(3);
  ReservingEntry entry(harness, "i1");
  entry.Acquire(harness.Members({2}, 600));
  CHECK(entry.Settle(1));
  entry.Acquire(harness.Members({0, 1, 2}, 600));
  CHECK(entry.Settle(2));
  CHECK(entry.answers[1] == ErrorCode::kOverloaded);
  harness.clock.Advance(seconds(1));
  CHECK(harness.Held() == 600);
}

TEST_CASE("Large groups of two entries never deadlock [engines]") {
  constexpr int kRounds = 50;
  EnginesHarness harness(4);
  ReservingEntry first(harness, "i1");
  ReservingEntry second(harness, "i2");
  for (int n = 0; n < kRounds; ++n) {
    const auto a = first.Acquire(harness.Members({0, 1, 2, 3}, 600));
    const auto b = second.Acquire(harness.Members({3, 2, 1, 0}, 600));
    CHECK(first.Settle(n + 1));
    CHECK(second.Settle(n + 1));
    // One of the two holds all its memory; the other holds none.
    CHECK(first.held + second.held == n + 1);
    first.reserver->Release(a);
    second.reserver->Release(b);
    harness.clock.Advance(seconds(1));
    CHECK(harness.Held() == 0);
  }
}

TEST_CASE("A reservation whose reply was lost is released [engines]") {
  EnginesHarness harness(2);
  ReservingEntry entry(harness, "i1");
  harness.fleet.LoseNextReply(harness.Id(1));
  entry.Acquire(harness.Members({0, 1}, 600));
  CHECK(entry.Settle(1));
  CHECK(entry.answers[0].has_value());
  harness.clock.Advance(seconds(10));
  CHECK(harness.Held() == 0);
  CHECK(entry.reserver->size() == 0);
}

TEST_CASE("A release whose reply was lost is repeated [engines]") {
  EnginesHarness harness(1);
  ReservingEntry entry(harness, "i1");
  const ReservationId id = entry.Acquire(harness.Members({0}, 600));
  CHECK(entry.Settle(1));
  harness.fleet.SetFault(harness.Id(0), {.is_down = true});
  entry.reserver->Release(id);
  harness.clock.Advance(seconds(3));
  CHECK(entry.reserver->size() == 1);
  harness.fleet.ClearFault(harness.Id(0));
  harness.clock.Advance(seconds(3));
  CHECK(harness.Held() == 0);
  CHECK(entry.reserver->size() == 0);
}

TEST_CASE(
    "A release while a reserve call is in flight leaves no memory held "
    "[engines]") {
  EnginesHarness harness(2);
  ReservingEntry entry(harness, "i1");
  harness.fleet.SetFault(harness.Id(0), {.delay = milliseconds(300)});
  const ReservationId id = entry.Acquire(harness.Members({0, 1}, 600));
  // The release overtakes the reserve call.
  harness.clock.Advance(milliseconds(10));
  harness.fleet.ClearFault(harness.Id(0));
  entry.reserver->Release(id);
  harness.clock.Advance(seconds(10));
  CHECK(entry.answered == 0);
  CHECK(harness.Held() == 0);
  CHECK(entry.reserver->size() == 0);
}

TEST_CASE(
    "A group that is not complete by its deadline is released "
    "[engines]") {
  EnginesHarness harness(2);
  ReservingEntry entry(harness, "i1");
  harness.fleet.SetFault(harness.Id(1), {.drops_messages_from_engine = true});
  entry.Acquire(harness.Members({0, 1}, 600), seconds(1));
  CHECK(entry.Settle(1));
  CHECK(entry.answers[0] == ErrorCode::kDeadlineExceeded);
  harness.fleet.ClearFault(harness.Id(1));
  harness.clock.Advance(seconds(10));
  CHECK(harness.Held() == 0);
}

TEST_CASE(
    "A group that lost a member reports it and releases the others "
    "[engines]") {
  EnginesHarness harness(2);
  ReservingEntry entry(harness, "i1");
  entry.Acquire(harness.Members({0, 1}, 600));
  CHECK(entry.Settle(1));
  harness.fleet.Kill(harness.Id(1));
  harness.clock.Advance(seconds(60));
  CHECK(entry.lost == 1);
  CHECK(harness.Held() == 0);
  CHECK(entry.reserver->size() == 0);
}

}  // namespace
}  // namespace kingcupdrift
