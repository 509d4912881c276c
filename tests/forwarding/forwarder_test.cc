#include "kingcupdrift/forwarding/forwarder.h"

#include <doctest/doctest.h>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a target's whole answer reaches the caller unchanged") {
  ForwardingHarness harness;
  harness.AddPlainTargets(1);
  const auto caller = harness.Handle(ForwardingHarness::Call("/once/x"));
  REQUIRE(harness.targets.sends.size() == 1);
  CHECK(harness.send(0).workspace == WorkspaceId("workspace"));
  harness.Answer(0, 201, "made");
  REQUIRE(caller->reply);
  CHECK(caller->reply->status == 201);
  CHECK(*caller->reply->body == "made");
}

TEST_CASE("requests without configuration, route or valid key are refused") {
  ForwardingHarness harness;
  const auto refused = [&](const ForwardCall& call) {
    const auto caller = harness.Handle(call);
    REQUIRE(caller->refusal);
    return caller->refusal->type;
  };
  CHECK(refused(ForwardingHarness::Call("/none/x")) ==
        ForwardRefusalType::kNoRoute);
  ForwardCall call = ForwardingHarness::Call("/once/x");
  call.key = "other";
  CHECK(refused(call) == ForwardRefusalType::kUnknownKey);

  harness.forwarder = Forwarder::Create(
      {InstanceId("entry-2"), FailureDomain("a"), {}},
      {harness.clock, harness.random, harness.targets, harness.log});
  CHECK(refused(ForwardingHarness::Call("/once/x")) ==
        ForwardRefusalType::kNotReady);
}

TEST_CASE("a non-idempotent request whose answer is lost is not retried") {
  ForwardingHarness harness;
  harness.AddPlainTargets(3);
  const auto caller = harness.Handle(ForwardingHarness::Call("/once/x"));
  harness.Fail(0, ErrorCode::kUnknownEffect);
  harness.clock.Advance(milliseconds(100));
  CHECK(harness.targets.sends.size() == 1);
  REQUIRE(caller->refusal);
  CHECK_FALSE(GuaranteesNotRun(caller->refusal->type));
}

TEST_CASE(
    "a non-idempotent request that a target declined is retried elsewhere") {
  ForwardingHarness harness;
  harness.AddPlainTargets(3);
  const auto caller = harness.Handle(ForwardingHarness::Call("/once/x"));
  harness.Decline(0);
  REQUIRE(harness.targets.sends.size() == 2);
  CHECK(harness.send(0).target.id != harness.send(1).target.id);
  harness.Answer(1, 200, "done");
  CHECK(caller->reply);
}

// Guards against "not run" for a request that an engine runs, since an earlier
// refusal came once more.
TEST_CASE("a refusal of another request is no promise for this one") {
  for (const std::string path : {"/once/x", "/safe/x"}) {
    CAPTURE(path);
    ForwardingHarness harness;
    harness.AddPlainTargets(1);
    const auto caller = harness.Handle(ForwardingHarness::Call(path));
    TargetResponseHead head;
    head.status = 503;
    head.request = RequestId("an earlier one");
    head.is_signed = true;
    head.is_not_run = true;
    harness.send(0).observer->OnResponseHead(head);
    REQUIRE(caller->refusal);
    CHECK_FALSE(GuaranteesNotRun(caller->refusal->type));
    CHECK(harness.targets.sends.size() == 1);
  }
}

TEST_CASE("an answer that belongs to another request is never passed on") {
  ForwardingHarness harness;
  harness.AddPlainTargets(1);
  const auto caller = harness.Handle(ForwardingHarness::Call("/once/x"));
  TargetResponseHead answer;
  answer.status = 200;
  answer.request = RequestId("another");
  answer.is_signed = true;
  harness.send(0).observer->OnResponseHead(answer);
  CHECK_FALSE(caller->reply);
  REQUIRE(caller->refusal);
  CHECK(caller->refusal->type == ForwardRefusalType::kTargetFailed);
}

TEST_CASE("a closed caller connection ends the target's work at once") {
  ForwardingHarness harness;
  harness.AddEngines(2);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(1000));
  harness.Stream(0, Event(0));
  caller->on_closed();
  // The target's connection is closed in the same turn, so that nothing more
  // can arrive for the request.
  CHECK(harness.send(0).observer == nullptr);
  harness.clock.Advance(milliseconds(10));
  CHECK(harness.forwarder->CountRequestsInProgress() == 0);
  CHECK(harness.notes.back().phase == WorkPhase::kEnded);
}

TEST_CASE(
    "the time limit stops the target; the refusal says if the call was sent") {
  ForwardingHarness harness;
  harness.AddPlainTargets(1);
  const auto sent = harness.Handle(ForwardingHarness::Call("/once/x"));
  const auto waiting = harness.Handle(ForwardingHarness::Prompt(1000));
  REQUIRE(waiting->refusal);
  CHECK(GuaranteesNotRun(waiting->refusal->type));
  harness.clock.Advance(milliseconds(10'000));
  REQUIRE(sent->refusal);
  CHECK(sent->refusal->type == ForwardRefusalType::kTimeLimitAfterSend);
  CHECK(harness.send(0).observer == nullptr);
}

TEST_CASE(
    "an interrupted stream resumes at another engine after the last event") {
  ForwardingHarness harness;
  harness.AddEngines(3);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(1000));
  harness.Stream(0, Event(0) + Event(1) + "id: 2\nda");
  harness.Fail(0, ErrorCode::kConnectionLost);
  REQUIRE(harness.targets.sends.size() == 2);
  CHECK(harness.send(1).target.id != harness.send(0).target.id);
  CHECK(harness.send(1).last_event_id == 1);
  harness.Stream(1, Event(2) + Event(3));
  harness.send(1).observer->OnEnd();
  CHECK(caller->bytes == Event(0) + Event(1) + Event(2) + Event(3));
  CHECK(caller->has_ended);
}

TEST_CASE("a resumed stream that skips an event is aborted") {
  ForwardingHarness harness;
  harness.AddEngines(3);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(1000));
  harness.Stream(0, Event(0));
  harness.Fail(0, ErrorCode::kConnectionLost);
  harness.Stream(1, Event(2));
  CHECK(caller->is_aborted);
  CHECK(caller->bytes == Event(0));
}

TEST_CASE("a request gets no more attempts than its route allows") {
  ForwardingHarness harness;
  harness.AddEngines(5);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(1000));
  harness.Fail(0, ErrorCode::kUnknownEffect);
  harness.Fail(1, ErrorCode::kUnknownEffect);
  CHECK(harness.targets.sends.size() == 2);
  CHECK(caller->refusal);
}

TEST_CASE("a draining target gets no new request") {
  ForwardingHarness harness;
  harness.AddPlainTargets(2);
  TargetRecord draining{{EngineId("plain-0"), {"10.0.0.2", 80}},
                        ServiceId("plain"),
                        FailureDomain("a"),
                        6,
                        true};
  harness.forwarder->UpdateTarget(draining);
  for (int i = 0; i < 5; ++i) {
    harness.Handle(ForwardingHarness::Call("/once/x"));
  }
  for (const auto& send : harness.targets.sends) {
    CHECK(send->target.id == EngineId("plain-1"));
  }
}

TEST_CASE(
    "a target with unconfirmed removal stays usable for the removal delay") {
  ForwardingHarness harness;
  harness.AddPlainTargets(1);
  harness.forwarder->RemoveTarget(EngineId("plain-0"), false);
  harness.Handle(ForwardingHarness::Call("/once/x"));
  CHECK(harness.targets.sends.size() == 1);
  harness.clock.Advance(milliseconds(1900));
  const auto late = harness.Handle(ForwardingHarness::Call("/once/x"));
  CHECK(harness.targets.sends.size() == 1);
  CHECK(late->refusal);
}

TEST_CASE("an older configuration never replaces a newer one") {
  ForwardingHarness harness;
  ServingConfig newer = ForwardingHarness::Config();
  newer.version = Generation(5);
  newer.routes.pop_back();
  harness.forwarder->ApplyConfig(newer);
  harness.forwarder->ApplyConfig(ForwardingHarness::Config());
  const auto caller = harness.Handle(ForwardingHarness::Call("/once/x"));
  REQUIRE(caller->refusal);
  CHECK(caller->refusal->type == ForwardRefusalType::kNoRoute);
}

TEST_CASE("a draining entry refuses long requests after the notice period") {
  ForwardingHarness harness;
  harness.AddPlainTargets(1);
  harness.forwarder->SetStopDeadline(harness.clock.Now() + milliseconds(7500));
  const auto early = harness.Handle(ForwardingHarness::Call("/once/x"));
  CHECK_FALSE(early->IsOver());
  harness.clock.Advance(Forwarder::kStopNoticePeriod);
  const auto late = harness.Handle(ForwardingHarness::Call("/once/x"));
  REQUIRE(late->refusal);
  CHECK(late->refusal->type == ForwardRefusalType::kLeaving);
  ForwardCall quick = ForwardingHarness::Call("/once/x");
  quick.time_limit = milliseconds(600);
  CHECK_FALSE(harness.Handle(quick)->IsOver());
}

TEST_CASE("an entry that refuses new requests refuses short ones too") {
  ForwardingHarness harness;
  harness.AddPlainTargets(1);
  harness.forwarder->SetStopDeadline(harness.clock.Now() + milliseconds(7500));
  harness.clock.Advance(milliseconds(3000));
  harness.forwarder->RefuseNewRequests();
  ForwardCall quick = ForwardingHarness::Call("/once/x");
  quick.time_limit = milliseconds(600);
  const auto caller = harness.Handle(quick);
  REQUIRE(caller->refusal);
  CHECK(GuaranteesNotRun(caller->refusal->type));
  CHECK(harness.targets.sends.empty());
}

TEST_CASE("a prompt larger than one engine's memory reserves the rest first") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(700'000));
  CHECK(harness.targets.sends.empty());
  REQUIRE_FALSE(harness.targets.reservations.empty());
  harness.targets.AnswerPendingCalls();
  REQUIRE(harness.targets.sends.size() == 1);
  TokenCount held;
  for (const PrefillHelper& it : harness.send(0).helpers) {
    held += it.held;
    CHECK((it.held > TokenCount()) == !it.reservation.empty());
  }
  CHECK(held >= TokenCount(700'100 - 315'000));
  harness.Stream(0, Event(0));
  harness.send(0).observer->OnEnd();
  CHECK(caller->has_ended);
  CHECK(harness.targets.reservations.empty());
}

TEST_CASE("a prefill helper that the target blames is not used in the retry") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  harness.Handle(ForwardingHarness::Prompt(150'000));
  const EngineAddress blamed = harness.send(0).helpers.at(0).engine;
  harness.Decline(0, blamed.endpoint);
  REQUIRE(harness.targets.sends.size() == 2);
  CHECK(harness.send(1).target.id != blamed.id);
  for (const PrefillHelper& it : harness.send(1).helpers) {
    CHECK(it.engine.id != blamed.id);
  }
}

TEST_CASE("a prompt is retried at once when a prefill helper is down") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  harness.Handle(ForwardingHarness::Prompt(150'000));
  const EngineAddress dead = harness.send(0).helpers.at(0).engine;
  harness.targets.unresponsive.insert(dead.id);
  harness.forwarder->CheckSuspect(dead.id);
  // One failed check has no effect: it may be lost in the network.
  harness.targets.AnswerPendingCalls();
  CHECK(harness.targets.sends.size() == 1);
  harness.targets.AnswerPendingCalls();
  REQUIRE(harness.targets.sends.size() == 2);
  CHECK(harness.send(0).observer == nullptr);
  CHECK(harness.send(1).target.id != dead.id);
  for (const PrefillHelper& it : harness.send(1).helpers) {
    CHECK(it.engine.id != dead.id);
  }
}

TEST_CASE("a suspicion alone starts a check but no retry") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  harness.Handle(ForwardingHarness::Prompt(150'000));
  const EngineId suspect = harness.send(0).helpers.at(0).engine.id;
  harness.forwarder->CheckSuspect(suspect);
  harness.targets.AnswerPendingCalls();
  CHECK(harness.targets.sends.size() == 1);
  CHECK(harness.targets.checks == std::vector<EngineId>{suspect});
}

TEST_CASE("a prompt whose prefill helper went down is not refused as not run") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(150'000));
  const EngineId dead = harness.send(0).helpers.at(0).engine.id;
  harness.targets.unresponsive.insert(dead);
  harness.forwarder->CheckSuspect(dead);
  for (int i = 0; i < 17; ++i) {
    harness.forwarder->RemoveTarget(
        EngineId("engine-" + std::to_string(10 + i)), true);
  }
  harness.forwarder->UpdateTarget(
      {{dead, {"10.0.0.1", 8100}}, ServiceId("model"), FailureDomain("a"), 16});
  harness.targets.AnswerPendingCalls();
  harness.targets.AnswerPendingCalls();
  REQUIRE(caller->refusal);
  CHECK_FALSE(GuaranteesNotRun(caller->refusal->type));
}

TEST_CASE(
    "an engine that fails an attempt is checked and reported as suspect") {
  ForwardingHarness harness;
  harness.AddEngines(2);
  std::vector<EngineId> reported;
  harness.forwarder->SetSuspectListener(
      [&reported](const EngineId& engine) { reported.push_back(engine); });
  harness.Handle(ForwardingHarness::Prompt(2000));
  const EngineId failed = harness.send(0).target.id;
  harness.Fail(0, ErrorCode::kUnknownEffect);
  CHECK(reported == std::vector<EngineId>{failed});
  CHECK(harness.targets.checks == std::vector<EngineId>{failed});
}

TEST_CASE("a stream that has begun goes on when a prefill helper is down") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  harness.Handle(ForwardingHarness::Prompt(150'000));
  harness.Stream(0, Event(1));
  const EngineId dead = harness.send(0).helpers.at(0).engine.id;
  harness.targets.unresponsive.insert(dead);
  harness.forwarder->CheckSuspect(dead);
  harness.targets.AnswerPendingCalls();
  harness.targets.AnswerPendingCalls();
  CHECK(harness.targets.sends.size() == 1);
}

TEST_CASE(
    "a prompt is refused once no engine can meet its first event timeout") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  const InstanceId other("entry-2");
  WorkNote note;
  note.max_event_gap = milliseconds(250);
  for (int i = 0; i < 17 * 16; ++i) {
    note.attempt = AttemptId(std::to_string(i));
    note.engine = EngineId("engine-" + std::to_string(10 + i % 17));
    harness.forwarder->ApplyPeerWork(other, note);
  }
  // Even split over all engines, the prompt's time to first event is 250 ms or
  // more; the first event timeout is 8 s.
  const auto caller = harness.Handle(ForwardingHarness::Prompt(150'000));
  harness.clock.Advance(milliseconds(7600));
  CHECK_FALSE(caller->IsOver());
  harness.clock.Advance(milliseconds(200));
  CHECK(harness.targets.sends.empty());
  REQUIRE(caller->refusal);
  CHECK(GuaranteesNotRun(caller->refusal->type));
}

TEST_CASE(
    "a failed reservation releases the others, and the prompt is tried again") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  for (int i = 0; i < 17; ++i) {
    harness.targets.without_memory.insert(
        EngineId("engine-" + std::to_string(10 + i)));
  }
  harness.Handle(ForwardingHarness::Prompt(700'000));
  harness.targets.AnswerPendingCalls();
  CHECK(harness.targets.reservations.empty());
  CHECK(harness.notes.back().phase == WorkPhase::kEnded);
  harness.targets.without_memory.clear();
  harness.clock.Advance(milliseconds(50));
  harness.targets.AnswerPendingCalls();
  CHECK(harness.targets.sends.size() == 1);
}

TEST_CASE("reservations are renewed until the request ends") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(700'000));
  harness.targets.AnswerPendingCalls();
  harness.targets.reservations.clear();
  harness.clock.Advance(milliseconds(1000));
  CHECK_FALSE(harness.targets.reservations.empty());
  caller->on_closed();
  CHECK(harness.targets.reservations.empty());
}

}  // namespace
}  // namespace kingcupdrift::fakes
