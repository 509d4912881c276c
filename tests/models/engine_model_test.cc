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

struct Bench {
  Bench() {
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

TEST_CASE("An engine answers whole and frees its memory [models]") {
  Bench bench;
  RecordingObserver observer;
  const auto stream =
      bench.client.Start(kFirst, MakeRequest("x", 1000, 20), observer);
  REQUIRE(bench.RunUntilEnded(observer));
  CHECK(observer.is_finished);
  CHECK(observer.text == bench.Expected("x", 20));
  CHECK(bench.engine().HeldMemory() == TokenCount(0));
  CHECK(bench.engine().Holdings().empty());
}

TEST_CASE("A higher priority is prefilled first [models]") {
  Bench bench;
  RecordingObserver low;
  RecordingObserver high;
  auto request = MakeRequest("high", 1000, 1);
  request.priority = 5;
  const auto a =
      bench.client.Start(kFirst, MakeRequest("low", 200'000, 1), low);
  const auto b = bench.client.Start(kFirst, request, high);
  REQUIRE(bench.RunUntilEnded(high));
  CHECK(!low.is_ended());
  CHECK(bench.clock.Now().time_since_epoch() < seconds(1));
  CHECK(bench.RunUntilEnded(low));
}

TEST_CASE("A stream goes on without its client and resumes [models]") {
  Bench bench;
  RecordingObserver first;
  auto stream = bench.client.Start(kFirst, MakeRequest("x", 100, 50), first);
  bench.clock.AdvanceUntil([&] { return first.tokens >= 10; }, seconds(10));
  stream.reset();
  bench.clock.Advance(seconds(10));
  RecordingObserver second;
  second.tokens = first.tokens;
  second.text = first.text;
  const auto resumed =
      bench.client.Resume(kFirst, AttemptId("x"), first.tokens, second);
  REQUIRE(bench.RunUntilEnded(second));
  CHECK(second.text == bench.Expected("x", 50));
  CHECK(bench.engine().counters().runs.at(AttemptId("x")) == 1);
}

TEST_CASE("Another engine goes on after what was emitted [models]") {
  Bench bench;
  RecordingObserver observer;
  auto stream = bench.client.Start(kFirst, MakeRequest("x", 100, 30), observer);
  bench.clock.AdvanceUntil([&] { return observer.tokens >= 7; }, seconds(10));
  bench.fleet.Kill(kFirst.id);
  REQUIRE(bench.RunUntilEnded(observer));
  REQUIRE(observer.error);
  CHECK(observer.error->code == ErrorCode::kConnectionLost);
  observer.error.reset();
  auto request = MakeRequest("x", 100, 30);
  request.emitted_text = observer.text;
  request.emitted_tokens = observer.tokens;
  stream = bench.client.Start(kSecond, request, observer);
  REQUIRE(bench.RunUntilEnded(observer));
  CHECK(observer.text == bench.Expected("x", 30));
}

TEST_CASE("Expired and cancelled streams give their memory back [models]") {
  Bench bench;
  RecordingObserver slow;
  RecordingObserver cancelled;
  auto request = MakeRequest("slow", 1000, 100'000);
  request.time_left = seconds(1);
  const auto a = bench.client.Start(kFirst, request, slow);
  const auto b =
      bench.client.Start(kFirst, MakeRequest("c", 1000, 100'000), cancelled);
  bench.clock.Advance(milliseconds(500));
  CHECK(bench.engine().HeldMemory() > TokenCount(0));
  bench.client.Cancel(kFirst, AttemptId("c"), [](const Result<void>&) {});
  bench.clock.Advance(seconds(1));
  CHECK(slow.error->code == ErrorCode::kDeadlineExceeded);
  CHECK(cancelled.error->code == ErrorCode::kRefused);
  CHECK(bench.engine().HeldMemory() == TokenCount(0));
}

TEST_CASE("A group holds a prompt above one engine's memory [models]") {
  Bench bench;
  RecordingObserver observer;
  auto request = MakeRequest("big", 600'000, 10);
  const auto refused = bench.client.Start(kFirst, request, observer);
  REQUIRE(bench.RunUntilEnded(observer));
  CHECK(observer.error->code == ErrorCode::kRefused);

  for (const EngineAddress& engine : {kFirst, kSecond}) {
    const ReservationRequest reservation{
        ReservationId("r-" + engine.id.value()), InstanceId("a"),
        AttemptId("big"), TokenCount(350'000), seconds(60)};
    bench.client.Reserve(engine, reservation,
                         [](const Result<void>& done) { CHECK(done); });
  }
  bench.clock.Advance(milliseconds(10));
  request.reservation = ReservationId("r-e1");
  request.group = {kSecond};
  RecordingObserver grouped;
  const auto stream = bench.client.Start(kFirst, request, grouped);
  REQUIRE(bench.RunUntilEnded(grouped));
  CHECK(grouped.text == bench.Expected("big", 10));
  CHECK(bench.engine().Holdings().size() == 1);
}

TEST_CASE("A cached prefix skips prefill and is reported late [models]") {
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
  CHECK(engine.CacheEvents(0).events.empty());
  request.attempt = AttemptId("y");
  CHECK(*engine.Start(request, nullptr) == TokenCount(1024));
  clock.Advance(seconds(1));
  CHECK(engine.CacheEvents(0).events.size() == 4);
  CHECK(engine.CacheEvents(4).events.empty());
}

TEST_CASE("A restart is a gap in the cache events [models]") {
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
  EngineModel lax({.id = kSecond.id}, clock);
  PlacementOrder order;
  order.fencing_number = FencingNumber(7);
  CHECK(strict.Order(order));
  CHECK(lax.Order(order));
  order.fencing_number = FencingNumber(6);
  CHECK(strict.Order(order).error().code == ErrorCode::kFenced);
  CHECK(lax.Order(order));
}

TEST_CASE("A silent link gives no answer and a new one works [models]") {
  Bench bench;
  RecordingObserver observer;
  const auto stream =
      bench.client.Start(kFirst, MakeRequest("x", 100, 40), observer);
  bench.clock.AdvanceUntil([&] { return observer.tokens >= 5; }, seconds(10));
  bench.fleet.SetFault(kFirst.id, {.is_silent_from_engine = true,
                                   .spares_new_connections = true});
  bench.clock.Advance(seconds(20));
  CHECK(!observer.is_ended());
  RecordingObserver second;
  second.tokens = observer.tokens;
  second.text = observer.text;
  const auto resumed =
      bench.client.Resume(kFirst, AttemptId("x"), observer.tokens, second);
  REQUIRE(bench.RunUntilEnded(second));
  CHECK(second.text == bench.Expected("x", 40));
}

}  // namespace
}  // namespace kingcupdrift::fakes
