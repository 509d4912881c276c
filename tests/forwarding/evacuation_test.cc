// Operators evacuate a failure domain: nothing new may reach its targets, on
// any path by which work reaches targets, while work in progress there goes on.

#include <doctest/doctest.h>

#include <algorithm>

#include "tests/forwarding/forwarding_harness.h"
#include "tests/forwarding/gateway_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FailureDomain kDomainA("a");

/// The harness's own targets are in "a"; this lists one of "model" or "plain"
/// in "b".
void AddTargetInB(ForwardingHarness& harness, const std::string& service) {
  harness.forwarder->UpdateTarget({{EngineId(service + "-b"), {"10.0.0.3", 90}},
                                   ServiceId(service),
                                   FailureDomain("b"),
                                   16});
}

bool WasSentTo(const TargetSend& send, const std::string& id) {
  return send.target.id == EngineId(id) ||
         std::any_of(send.helpers.begin(), send.helpers.end(),
                     [&id](const PrefillHelper& it) {
                       return it.engine.id == EngineId(id);
                     });
}

TEST_CASE("an evacuated failure domain gets no first attempt and no retry") {
  ForwardingHarness harness;
  harness.AddPlainTargets(3);
  AddTargetInB(harness, "plain");
  harness.forwarder->SetEvacuated(kDomainA, true);
  for (std::size_t i = 0; i < 8; ++i) {
    harness.Handle(ForwardingHarness::Call("/safe/x"));
    CHECK(harness.send(i).target.id == EngineId("plain-b"));
  }
  // The only target outside declines, and the retry finds no other.
  const auto caller = harness.Handle(ForwardingHarness::Call("/safe/x"));
  harness.Decline(8);
  CHECK(harness.targets.sends.size() == 9);
  REQUIRE(caller->refusal);
  CHECK(GuaranteesNotRun(caller->refusal->type));
}

TEST_CASE("a service whose targets are all evacuated refuses at once") {
  ForwardingHarness harness;
  harness.AddPlainTargets(2);
  harness.AddEngines(2);
  harness.forwarder->SetEvacuated(kDomainA, true);
  for (const ForwardCall& call :
       {ForwardingHarness::Call("/once/x"), ForwardingHarness::Prompt(5'000)}) {
    const auto caller = harness.Handle(call);
    REQUIRE(caller->refusal);
    CHECK(GuaranteesNotRun(caller->refusal->type));
    CHECK(caller->refusal->retry_after > Duration::zero());
  }
  CHECK(harness.targets.sends.empty());
}

TEST_CASE("a waiting request is refused when its last targets are evacuated") {
  ForwardingHarness harness;
  harness.AddEngines(1);
  const auto waiting = harness.Handle(ForwardingHarness::Prompt(100'000));
  REQUIRE(harness.targets.sends.empty());
  REQUIRE_FALSE(waiting->refusal);
  harness.forwarder->SetEvacuated(kDomainA, true);
  harness.clock.Advance(milliseconds(1));
  REQUIRE(waiting->refusal);
  CHECK(GuaranteesNotRun(waiting->refusal->type));
}

TEST_CASE("prefill parts and reservations avoid an evacuated failure domain") {
  ForwardingHarness harness;
  harness.AddEngines(6);
  AddTargetInB(harness, "model");
  harness.forwarder->SetEvacuated(kDomainA, true);
  harness.Handle(ForwardingHarness::Prompt(30'000));
  harness.clock.Advance(seconds(2));
  REQUIRE(harness.targets.sends.size() == 1);
  CHECK(harness.send(0).target.id == EngineId("model-b"));
  CHECK(harness.send(0).helpers.empty());
  CHECK(harness.targets.reservations.empty());
}

TEST_CASE("a prompt that reserves memory during the evacuation is not sent") {
  ForwardingHarness harness;
  harness.AddEngines(17);
  harness.Handle(ForwardingHarness::Prompt(400'000));
  REQUIRE(harness.targets.sends.empty());
  REQUIRE_FALSE(harness.targets.pending_answers.empty());
  harness.forwarder->SetEvacuated(kDomainA, true);
  harness.targets.AnswerPendingCalls();
  harness.clock.Advance(milliseconds(100));
  CHECK(harness.targets.sends.empty());
  CHECK(harness.targets.reservations.empty());
}

TEST_CASE("work in progress in an evacuated failure domain goes on") {
  ForwardingHarness harness;
  harness.AddPlainTargets(1);
  harness.AddEngines(1);
  const auto order = harness.Handle(ForwardingHarness::Call("/once/x"));
  const auto stream = harness.Handle(ForwardingHarness::Prompt(5'000));
  harness.Stream(1, Event(1));
  harness.forwarder->SetEvacuated(kDomainA, true);
  harness.clock.Advance(milliseconds(200));
  harness.Answer(0, 200, "done");
  harness.send(1).observer->OnBytes(Event(2));
  harness.send(1).observer->OnEnd();
  CHECK(order->reply);
  CHECK(stream->has_ended);
}

TEST_CASE("a broken stream is resumed outside the evacuated failure domain") {
  ForwardingHarness harness;
  harness.AddEngines(4);
  harness.Handle(ForwardingHarness::Prompt(5'000));
  harness.Stream(0, Event(1));
  AddTargetInB(harness, "model");
  harness.forwarder->SetEvacuated(kDomainA, true);
  harness.Fail(0, ErrorCode::kConnectionLost);
  harness.clock.Advance(milliseconds(20));
  REQUIRE(harness.targets.sends.size() == 2);
  CHECK(harness.send(1).target.id == EngineId("model-b"));
  CHECK(harness.send(1).last_event_id == 1);
  // The engine that broke the stream is not checked either.
  CHECK(harness.targets.checks.empty());
}

TEST_CASE("another entry's suspicion checks no evacuated engine") {
  ForwardingHarness harness;
  harness.AddEngines(1);
  harness.forwarder->SetEvacuated(kDomainA, true);
  harness.forwarder->CheckSuspect(EngineId("engine-10"));
  CHECK(harness.targets.checks.empty());
  harness.forwarder->SetEvacuated(kDomainA, false);
  harness.forwarder->CheckSuspect(EngineId("engine-10"));
  CHECK(harness.targets.checks.size() == 1);
}

TEST_CASE("a target listed during the evacuation gets nothing until it ends") {
  ForwardingHarness harness;
  harness.forwarder->SetEvacuated(kDomainA, true);
  harness.forwarder->SetEvacuated(kDomainA, true);
  harness.AddPlainTargets(1);
  CHECK(harness.Handle(ForwardingHarness::Call("/safe/x"))->refusal);
  harness.forwarder->SetEvacuated(kDomainA, false);
  harness.Handle(ForwardingHarness::Call("/safe/x"));
  CHECK(harness.targets.sends.size() == 1);
}

TEST_CASE("evacuating a failure domain without targets changes nothing") {
  ForwardingHarness harness;
  harness.AddPlainTargets(2);
  harness.forwarder->SetEvacuated(FailureDomain("none"), true);
  harness.forwarder->SetEvacuated(FailureDomain(), true);
  harness.Handle(ForwardingHarness::Call("/safe/x"));
  CHECK(harness.targets.sends.size() == 1);
}

/// Entries, most of which hear of changes of the store only from peers; "t1" is
/// in "a" and "t2" in "b".
struct EvacuationHarness : GatewayHarness {
  explicit EvacuationHarness(int count, Duration peer_delay = milliseconds(1))
      : GatewayHarness(count, peer_delay) {
    Put("targets/t1", "ready 7 plain a");
    Put("targets/t2", "ready 8 plain b");
    clock.Advance(seconds(2));
  }

  /// Sends of all entries to `target` for `requests` requests each.
  int CountSendsTo(const std::string& target, int requests = 40) {
    int count = 0;
    for (const auto& node : nodes) {
      for (int i = 0; i < (node->is_running ? requests : 0); ++i) {
        if (node->Ask("kept") == "sent" &&
            WasSentTo(*node->targets.sends.back(), target)) {
          ++count;
        }
      }
    }
    return count;
  }
};

TEST_CASE("entries that hear of the evacuation only from peers obey it") {
  for (const int count : {1, 6, 33}) {
    for (const Duration delay : {milliseconds(1), milliseconds(700)}) {
      EvacuationHarness harness(count, delay);
      CHECK(harness.CountSendsTo("t1") > 0);
      harness.Put("evacuate/a", "{}");
      harness.clock.Advance(seconds(3));
      CHECK(harness.CountSendsTo("t1") == 0);
      harness.Delete("evacuate/a");
      harness.clock.Advance(seconds(3));
      CHECK(harness.CountSendsTo("t1") > 0);
    }
  }
}

TEST_CASE("an entry that starts during the evacuation obeys it") {
  EvacuationHarness harness(3);
  harness.Put("evacuate/a", "any bytes \xff");
  harness.clock.Advance(seconds(1));
  harness.AddNode(4, "entry-");
  harness.nodes[0]->Kill();
  harness.AddNode(1, "again-");
  for (int i = 0; i < 20; ++i) {
    harness.clock.Advance(milliseconds(100));
    REQUIRE(harness.CountSendsTo("t1", 2) == 0);
  }
  CHECK(harness.CountSendsTo("t2") > 0);
}

TEST_CASE("an evacuation written before the store is lost stays in force") {
  EvacuationHarness harness(3);
  harness.Put("evacuate/a", "{}");
  harness.clock.Advance(seconds(1));
  harness.model.SetFault({true});
  harness.clock.Advance(seconds(10));
  CHECK(harness.CountSendsTo("t1") == 0);
  harness.model.SetFault({});
  harness.clock.Advance(seconds(5));
  CHECK(harness.CountSendsTo("t1") == 0);
}

TEST_CASE("an evacuation that is taken back at once leaves nothing behind") {
  EvacuationHarness harness(3);
  harness.Put("evacuate/a", "{}");
  harness.Put("evacuate/a", "{}");
  harness.Delete("evacuate/a");
  harness.clock.Advance(seconds(2));
  CHECK(harness.CountSendsTo("t1") > 0);
  CHECK(harness.nodes[0]->Metric("kingcupdrift_failure_domains_evacuated") ==
        "0");
}

}  // namespace
}  // namespace kingcupdrift::fakes
