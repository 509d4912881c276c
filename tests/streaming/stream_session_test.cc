#include <doctest/doctest.h>

#include <chrono>

#include "tests/streaming/stream_harness.h"

namespace kingcupdrift {
namespace {

using std::chrono::seconds;

TEST_CASE("A stream without faults gives the whole answer [streaming]") {
  StreamHarness harness;
  harness.Start("e1", "attempt1");
  CHECK(harness.RunToEnd());
  CHECK(harness.HasWholeAnswer());
  CHECK(harness.accepted == 1);
  CHECK(harness.resumed_at.empty());
  CHECK(!harness.session->is_running());
}

TEST_CASE(
    "A stream whose connection goes silent is resumed over a new one "
    "[streaming]") {
  StreamHarness harness;
  harness.Start("e1", "attempt1");
  REQUIRE(harness.RunUntilTokens(10));
  harness.SetFault("e1", {.drops_messages_to_engine = true,
                          .drops_messages_from_engine = true,
                          .affects_only_open_streams = true});
  CHECK(harness.RunToEnd());
  CHECK(harness.HasWholeAnswer());
  CHECK(harness.resumed_at.size() == 1);
  CHECK(harness.failures.empty());
  CHECK(harness.model("e1").counters().runs_by_attempt.size() == 1);
}

TEST_CASE(
    "A stream whose connection is silent in one direction is resumed "
    "[streaming]") {
  for (const bool is_towards_engine : {true, false}) {
    CAPTURE(is_towards_engine);
    StreamHarness harness;
    harness.Start("e1", "attempt1");
    REQUIRE(harness.RunUntilTokens(10));
    harness.SetFault("e1", {.drops_messages_to_engine = is_towards_engine,
                            .drops_messages_from_engine = !is_towards_engine,
                            .affects_only_open_streams = true});
    CHECK(harness.RunToEnd());
    CHECK(harness.HasWholeAnswer());
  }
}

TEST_CASE(
    "Another engine continues the stream of a dead one without a gap "
    "[streaming]") {
  StreamHarness harness;
  harness.failover_engine = "e2";
  harness.Start("e1", "attempt1");
  REQUIRE(harness.RunUntilTokens(10));
  harness.fleet.Kill(EngineId("e1"));
  CHECK(harness.RunToEnd());
  CHECK(harness.HasWholeAnswer());
  REQUIRE(harness.failures.size() == 1);
  CHECK(harness.failures[0].may_have_run);
  CHECK(harness.failures[0].can_fail_over);
  CHECK(!harness.failures[0].is_declined);
}

TEST_CASE(
    "Another engine continues the stream of a restarted one without a gap "
    "[streaming]") {
  StreamHarness harness;
  harness.failover_engine = "e2";
  harness.Start("e1", "attempt1");
  REQUIRE(harness.RunUntilTokens(10));
  harness.model("e1").Restart();
  CHECK(harness.RunToEnd());
  CHECK(harness.HasWholeAnswer());
}

TEST_CASE(
    "An attempt at an engine that never answers fails within the timeouts "
    "[streaming]") {
  StreamLimits limits;
  StreamHarness harness(limits);
  harness.SetFault("e1", {.drops_messages_to_engine = true});
  harness.Start("e1", "attempt1");
  const MonotonicTime start = harness.clock.Now();
  CHECK(harness.RunToEnd());
  REQUIRE(harness.failures.size() == 1);
  CHECK(harness.failures[0].may_have_run);
  CHECK(harness.clock.Now() - start <=
        limits.first_token_timeout * (limits.max_resumes + 1));
}

TEST_CASE(
    "A refused connection proves that the attempt did not run "
    "[streaming]") {
  StreamHarness harness;
  harness.SetFault("e1", {.is_down = true});
  harness.Start("e1", "attempt1");
  CHECK(harness.RunToEnd());
  REQUIRE(harness.failures.size() == 1);
  CHECK(!harness.failures[0].may_have_run);
  CHECK(harness.model("e1").counters().runs_by_attempt.empty());
}

TEST_CASE("Stopping a session cancels its attempt at the engine [streaming]") {
  StreamHarness harness;
  harness.Start("e1", "attempt1");
  REQUIRE(harness.RunUntilTokens(10));
  harness.session->Stop();
  harness.clock.Advance(seconds(1));
  CHECK(harness.model("e1").counters().cancelled == 1);
  CHECK(harness.model("e1").GetHeldMemory() == TokenCount(0));
  CHECK(!harness.end);
}

TEST_CASE("A detached stream can be taken over by another entry [streaming]") {
  StreamHarness harness;
  harness.Start("e1", "attempt1");
  REQUIRE(harness.RunUntilTokens(10));
  const std::uint64_t offset = harness.next_offset;
  harness.session->Detach();
  harness.clock.Advance(seconds(1));
  harness.session->Attach(EngineAddress{EngineId("e1"), Endpoint()},
                          AttemptId("attempt1"), offset);
  CHECK(harness.RunToEnd());
  CHECK(harness.HasWholeAnswer());
}

TEST_CASE(
    "A stream unknown to the engine cannot be taken over "
    "[streaming]") {
  StreamHarness harness;
  harness.session->Attach(EngineAddress{EngineId("e1"), Endpoint()},
                          AttemptId("nobody"), 5);
  CHECK(harness.RunToEnd());
  REQUIRE(harness.failures.size() == 1);
  CHECK(harness.failures[0].error.code == ErrorCode::kNotFound);
  CHECK(!harness.failures[0].can_fail_over);
}

TEST_CASE(
    "A paused stream runs no timeout and continues after the pause "
    "[streaming]") {
  StreamHarness harness;
  harness.Start("e1", "attempt1");
  REQUIRE(harness.RunUntilTokens(10));
  harness.session->SetPaused(true);
  harness.clock.Advance(seconds(1));
  const std::uint64_t paused_at = harness.next_offset;
  harness.clock.Advance(seconds(20));
  CHECK(harness.next_offset == paused_at);
  CHECK(harness.resumed_at.empty());
  CHECK(harness.session->answer().buffered_chunks() == 0);
  harness.session->SetPaused(false);
  CHECK(harness.RunToEnd());
  CHECK(harness.HasWholeAnswer());
}

TEST_CASE(
    "A session destroyed inside its own event reports no further events "
    "[streaming]") {
  struct Destroyer : StreamHarness {
    void OnChunk(const AnswerChunk& chunk) override {
      StreamHarness::OnChunk(chunk);
      session.reset();
    }
  };
  Destroyer harness;
  harness.Start("e1", "attempt1");
  harness.clock.Advance(seconds(30));
  CHECK(harness.next_offset > 0);
  CHECK(!harness.end);
  CHECK(harness.model("e1").counters().cancelled == 1);
}

TEST_CASE(
    "Random faults of two engines end in the whole answer or a failure "
    "[streaming]") {
  constexpr std::uint64_t kSeeds = 200;
  int whole = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    StreamHarness harness;
    harness.failover_engine = "e2";
    harness.Start("e1", "attempt1");
    for (int n = 0; n < 10 && !harness.end; ++n) {
      const std::string engine = random.NextBelow(2) == 0 ? "e1" : "e2";
      fakes::EngineLinkFault fault;
      fault.is_down = random.NextBelow(8) == 0;
      fault.drops_messages_to_engine = random.NextBelow(6) == 0;
      fault.drops_messages_from_engine = random.NextBelow(6) == 0;
      fault.affects_only_open_streams = random.NextBelow(2) == 0;
      fault.delay = std::chrono::milliseconds(random.NextBelow(50));
      harness.SetFault(engine, fault);
      if (random.NextBelow(10) == 0) {
        harness.model(engine).Restart();
      }
      harness.clock.Advance(std::chrono::milliseconds(random.NextBelow(1000)));
      if (harness.failures.size() > 5) {
        harness.failover_engine.clear();
      }
    }
    harness.fleet.ClearFault(EngineId("e1"));
    harness.fleet.ClearFault(EngineId("e2"));
    harness.RunToEnd();
    const bool is_failed =
        !harness.failures.empty() && !harness.session->is_running();
    CHECK((harness.end || is_failed));
    if (harness.end) {
      CHECK(harness.HasWholeAnswer());
      ++whole;
    }
  }
  CHECK(whole > 0);
}

}  // namespace
}  // namespace kingcupdrift
