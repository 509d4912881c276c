#include "tests/fakes/engine_model.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

#include "tests/fakes/answer_text.h"
#include "tests/fakes/fake_engine_client.h"
#include "tests/fakes/manual_clock.h"
#include "tests/fakes/recording_observer.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EngineAddress kFirst{EngineId("e1"), {"127.0.0.1", 1}};
const EngineAddress kSecond{EngineId("e2"), {"127.0.0.1", 2}};

EngineStreamRequest MakeRequest(const std::string& attempt,
                                std::int64_t prompt,
                                std::int64_t output) {
  EngineStreamRequest request;
  request.request = RequestId("r-" + attempt);
  request.attempt = AttemptId(attempt);
  request.body = std::make_shared<const std::string>("body of " + attempt);
  request.prompt_tokens = TokenCount(prompt);
  request.max_output_tokens = TokenCount(output);
  request.time_left = seconds(100);
  return request;
}

struct EngineModelFixture {
  EngineModelFixture() {
    fleet.Add({.id = kFirst.id});
    fleet.Add({.id = kSecond.id});
  }

  EngineModel& engine() { return *fleet.Find(kFirst.id); }
  bool RunUntilEnded(const RecordingObserver& observer) {
    return clock.AdvanceUntil([&] { return observer.is_ended(); },
                              seconds(200));
  }
  std::string Expected(const std::string& attempt, std::uint64_t n) {
    return AnswerText(AnswerSeed("body of " + attempt), 0, n);
  }

  ManualClock clock;
  EngineFleet fleet{clock};
  FakeEngineClient client{{.owner = InstanceId("a")}, fleet, clock};
};

TEST_CASE("An engine completes its answer and frees its memory [models]") {
  EngineModelFixture fixture;
  RecordingObserver observer;
  const auto stream =
      fixture.client.Start(kFirst, MakeRequest("x", 1000, 20), observer);
  REQUIRE(fixture.RunUntilEnded(observer));
  CHECK(observer.is_finished);
  CHECK(observer.text == fixture.Expected("x", 20));
  CHECK(fixture.engine().GetHeldMemory() == TokenCount(0));
  CHECK(fixture.engine().ListHoldings().empty());
}

TEST_CASE("An engine prefills the request of higher priority first [models]") {
  EngineModelFixture fixture;
  RecordingObserver low;
  RecordingObserver high;
  auto request = MakeRequest("high", 1000, 1);
  request.priority = 5;
  const auto a =
      fixture.client.Start(kFirst, MakeRequest("low", 200'000, 1), low);
  const auto b = fixture.client.Start(kFirst, request, high);
  REQUIRE(fixture.RunUntilEnded(high));
  CHECK(!low.is_ended());
  CHECK(fixture.clock.Now().time_since_epoch() < seconds(1));
  CHECK(fixture.RunUntilEnded(low));
}

TEST_CASE("A stream continues without its client and can be resumed [models]") {
  EngineModelFixture fixture;
  RecordingObserver first;
  auto stream = fixture.client.Start(kFirst, MakeRequest("x", 100, 50), first);
  fixture.clock.AdvanceUntil([&] { return first.tokens >= 10; }, seconds(10));
  stream.reset();
  fixture.clock.Advance(seconds(10));
  RecordingObserver second;
  second.tokens = first.tokens;
  second.text = first.text;
  const auto resumed =
      fixture.client.Resume(kFirst, AttemptId("x"), first.tokens, second);
  REQUIRE(fixture.RunUntilEnded(second));
  CHECK(second.text == fixture.Expected("x", 50));
  CHECK(fixture.engine().counters().runs_by_attempt.at(AttemptId("x")) == 1);
}

TEST_CASE("Another engine continues after the emitted tokens [models]") {
  EngineModelFixture fixture;
  RecordingObserver observer;
  auto stream =
      fixture.client.Start(kFirst, MakeRequest("x", 100, 30), observer);
  fixture.clock.AdvanceUntil([&] { return observer.tokens >= 7; }, seconds(10));
  fixture.fleet.Kill(kFirst.id);
  REQUIRE(fixture.RunUntilEnded(observer));
  REQUIRE(observer.error);
  CHECK(observer.error->code == ErrorCode::kConnectionLost);
  observer.error.reset();
  auto request = MakeRequest("x", 100, 30);
  request.emitted_text = observer.text;
  request.emitted_tokens = observer.tokens;
  stream = fixture.client.Start(kSecond, request, observer);
  REQUIRE(fixture.RunUntilEnded(observer));
  CHECK(observer.text == fixture.Expected("x", 30));
}

TEST_CASE("Expired and cancelled streams free their memory [models]") {
  EngineModelFixture fixture;
  RecordingObserver slow;
  RecordingObserver cancelled;
  auto request = MakeRequest("slow", 1000, 100'000);
  request.time_left = seconds(1);
  const auto a = fixture.client.Start(kFirst, request, slow);
  const auto b =
      fixture.client.Start(kFirst, MakeRequest("c", 1000, 100'000), cancelled);
  fixture.clock.Advance(milliseconds(500));
  CHECK(fixture.engine().GetHeldMemory() > TokenCount(0));
  fixture.client.Cancel(kFirst, AttemptId("c"), [](const Result<void>&) {});
  fixture.clock.Advance(seconds(1));
  CHECK(slow.error->code == ErrorCode::kDeadlineExceeded);
  CHECK(cancelled.error->code == ErrorCode::kRefused);
  CHECK(fixture.engine().GetHeldMemory() == TokenCount(0));
}

TEST_CASE("A group serves a prompt that exceeds one engine's memory [models]") {
  EngineModelFixture fixture;
  RecordingObserver observer;
  auto request = MakeRequest("big", 600'000, 10);
  const auto refused = fixture.client.Start(kFirst, request, observer);
  REQUIRE(fixture.RunUntilEnded(observer));
  CHECK(observer.error->code == ErrorCode::kRefused);

  for (const EngineAddress& engine : {kFirst, kSecond}) {
    const ReservationRequest reservation{
        ReservationId("r-" + engine.id.value()), InstanceId("a"),
        AttemptId("big"), TokenCount(350'000), seconds(60)};
    fixture.client.Reserve(engine, reservation,
                           [](const Result<void>& done) { CHECK(done); });
  }
  fixture.clock.Advance(milliseconds(10));
  request.reservation = ReservationId("r-e1");
  request.group = {kSecond};
  RecordingObserver grouped;
  const auto stream = fixture.client.Start(kFirst, request, grouped);
  REQUIRE(fixture.RunUntilEnded(grouped));
  CHECK(grouped.text == fixture.Expected("big", 10));
  CHECK(fixture.engine().ListHoldings().size() == 1);
}

TEST_CASE(
    "A cached prefix skips prefill and is reported after a lag [models]") {
  ManualClock clock;
  EngineModel engine({.id = kFirst.id}, clock);
  EngineModelRequest request;
  request.attempt = AttemptId("x");
  request.prompt_tokens = TokenCount(1024);
  request.prompt.blocks = {1, 2, 3, 4};
  request.max_output_tokens = TokenCount(1);
  request.time_left = seconds(10);
  CHECK(*engine.Start(request, nullptr) == TokenCount(0));
  clock.Advance(milliseconds(200));
  CHECK(engine.GetCacheEvents(0).events.empty());
  request.attempt = AttemptId("y");
  CHECK(*engine.Start(request, nullptr) == TokenCount(1024));
  clock.Advance(seconds(1));
  CHECK(engine.GetCacheEvents(0).events.size() == 4);
  CHECK(engine.GetCacheEvents(4).events.empty());
}

TEST_CASE("A restart appears as a gap in the cache events [models]") {
  ManualClock clock;
  SeededRandom random(1);
  PrefixCache cache({.capacity = 2}, clock, random);
  cache.Insert({1, 2, 3});
  clock.Advance(seconds(1));
  CHECK(cache.FetchEvents(0).events.size() == 4);
  CHECK(!cache.Contains(1));
  cache.Clear();
  CHECK(cache.FetchEvents(4).has_gap);
}

TEST_CASE("Engines enforce or ignore fencing as configured [models]") {
  ManualClock clock;
  EngineModel strict({.id = kFirst.id, .is_fencing_enforced = true}, clock);
  EngineModel lenient({.id = kSecond.id}, clock);
  PlacementOrder order;
  order.fencing_number = FencingNumber(7);
  CHECK(strict.ApplyPlacementOrder(order));
  CHECK(lenient.ApplyPlacementOrder(order));
  order.fencing_number = FencingNumber(6);
  CHECK(strict.ApplyPlacementOrder(order).error().code == ErrorCode::kFenced);
  CHECK(lenient.ApplyPlacementOrder(order));
}

TEST_CASE("A fault of open streams stalls them but not new ones [models]") {
  EngineModelFixture fixture;
  RecordingObserver observer;
  const auto stream =
      fixture.client.Start(kFirst, MakeRequest("x", 100, 40), observer);
  fixture.clock.AdvanceUntil([&] { return observer.tokens >= 5; }, seconds(10));
  fixture.fleet.SetFault(kFirst.id, {.drops_messages_from_engine = true,
                                     .affects_only_open_streams = true});
  fixture.clock.Advance(seconds(20));
  CHECK(!observer.is_ended());
  RecordingObserver second;
  second.tokens = observer.tokens;
  second.text = observer.text;
  const auto resumed =
      fixture.client.Resume(kFirst, AttemptId("x"), observer.tokens, second);
  REQUIRE(fixture.RunUntilEnded(second));
  CHECK(second.text == fixture.Expected("x", 40));
}

}  // namespace
}  // namespace kingcupdrift::fakes
