// Requests that an entry (a serving process) passes on to another one, since it
// reaches no engine.

#include <doctest/doctest.h>

#include "kingcupdrift/forwarding/work_key.h"
#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

/// An entry whose connections to all three targets have failed.
struct CutOffEntry : ForwardingHarness {
  CutOffEntry() {
    AddPlainTargets(3);
    forwarder->SetRelayPeers(
        {{InstanceId("peer"), {"10.0.0.9", 80}, FailureDomain("a")}});
    targets.is_cut_off = true;
    Handle(Call("/once/x"));
    for (std::size_t i = 0; i < 3; ++i) {
      Fail(i, ErrorCode::kUnavailable);
    }
    targets.AnswerPendingCalls();
    REQUIRE(forwarder->IsCutOff());
  }

  void ReportCrash(const std::string& engine) {
    const WorkKey key =
        MakeRequestKey(Call("/safe/x"), WorkspaceId("workspace"));
    forwarder->ApplyCrashEvidence(
        {{{EngineId(engine), {}, Duration::zero(), {{key, 0}}}}, {}, {}});
  }

  std::shared_ptr<CallerRecord> Relay(const std::string& path) {
    const std::size_t before = targets.sends.size();
    auto record = Handle(Call(path));
    REQUIRE(targets.sends.size() == before + 1);
    REQUIRE(targets.sends.back()->relayed_call);
    return record;
  }
  std::size_t last() const { return targets.sends.size() - 1; }
};

TEST_CASE("the answer of the other entry is passed on, refusals too") {
  for (const int status : {200, 404, 500, 503}) {
    CAPTURE(status);
    CutOffEntry entry;
    const auto record = entry.Relay("/safe/x");
    entry.Answer(entry.last(), status, "body");
    REQUIRE(record->reply);
    CHECK(record->reply->status == status);
    CHECK(*record->reply->body == "body");
  }
}

// Guards against "not run" for a request that another entry may have run.
TEST_CASE("an earlier relay that was lost makes a refusal uncertain") {
  CutOffEntry entry;
  entry.forwarder->SetRelayPeers(
      {{InstanceId("peer"), {"10.0.0.9", 80}, FailureDomain("a")},
       {InstanceId("peer-2"), {"10.0.0.8", 80}, FailureDomain("a")}});
  const auto record = entry.Relay("/safe/x");
  entry.Fail(entry.last(), ErrorCode::kConnectionLost);
  REQUIRE(entry.targets.sends.back()->relayed_call);
  REQUIRE(entry.send(entry.last()).observer != nullptr);
  entry.Answer(entry.last(), 503, "overloaded");
  REQUIRE(record->refusal);
  CHECK_FALSE(GuaranteesNotRun(record->refusal->type));
}

TEST_CASE("a call that was relayed before is not relayed again") {
  CutOffEntry entry;
  ForwardCall call = ForwardingHarness::Call("/once/x");
  call.is_relayed = true;
  const std::size_t before = entry.targets.sends.size();
  entry.Handle(std::move(call));
  for (std::size_t i = before; i < entry.targets.sends.size(); ++i) {
    CHECK_FALSE(entry.send(i).relayed_call);
  }
}

// Guards against taking the other entry's own refusal for an engine's answer.
TEST_CASE("only an answer of an engine clears a request of crashes") {
  for (const int status : {404, 200}) {
    CAPTURE(status);
    CutOffEntry entry;
    entry.ReportCrash("a");
    entry.ReportCrash("b");
    entry.Relay("/safe/x");
    entry.Answer(entry.last(), status, "body");
    entry.ReportCrash("c");
    CHECK(entry.forwarder->ListQuarantined().empty() == (status == 200));
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
