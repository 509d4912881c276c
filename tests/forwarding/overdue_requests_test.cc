// Prompts whose engines bring no first event.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/forwarding/model_engines_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId kPeer("entry-2");
constexpr Duration kStep = milliseconds(100);

/// `config` with the large prompts' figures of a deployment: 8 s to the first
/// event, 15 s in all.
ServingConfig MakeLargePromptConfig(
    RetrySafety retry_safety = RetrySafety::kIdempotent) {
  ServingConfig config = ForwardingHarness::Config();
  config.version = Generation(2);
  RouteRule& prompts = config.routes.at(0);
  prompts.retry_safety = retry_safety;
  prompts.target_latency = seconds(8);
  prompts.first_event_timeout = seconds(32);
  prompts.time_limit = seconds(15);
  return config;
}

/// Notes of another entry about work that the engine prefilled, or prefills for
/// `backlog`.
class PeerWork {
 public:
  explicit PeerWork(ForwardingHarness& harness) : harness_(harness) {}

  void Finish(const EngineId& engine) {
    WorkNote note = Make(engine, milliseconds(20));
    harness_.forwarder->ApplyPeerWork(kPeer, note);
    End(note.attempt, WorkPhase::kDecoding);
    End(note.attempt, WorkPhase::kEnded);
  }
  void Start(const EngineId& engine, Duration backlog) {
    harness_.forwarder->ApplyPeerWork(kPeer, Make(engine, backlog));
  }
  /// As a heartbeat repeats it, without any change.
  void Repeat(const EngineId& engine) {
    WorkNote note = Make(engine, milliseconds(20));
    note.attempt = AttemptId("old");
    note.phase = WorkPhase::kDecoding;
    harness_.forwarder->ApplyPeerWork(kPeer, note);
  }

 private:
  WorkNote Make(const EngineId& engine, Duration prefill) {
    WorkNote note;
    note.attempt = AttemptId("peer-" + std::to_string(next_++));
    note.engine = engine;
    note.prompt = TokenCount(100);
    note.output = TokenCount(10);
    note.max_event_gap = seconds(1);
    note.part_prefill_time = prefill;
    return note;
  }
  void End(const AttemptId& attempt, WorkPhase phase) {
    WorkNote note;
    note.attempt = attempt;
    note.phase = phase;
    harness_.forwarder->ApplyPeerWork(kPeer, note);
  }

  ForwardingHarness& harness_;
  int next_ = 0;
};

/// Advances by `kStep` until there are `sends` attempts or `limit` has passed,
/// with `work` at each step. Returns the time.
template <typename Work>
Duration AdvanceToSend(ForwardingHarness& harness,
                       std::size_t sends,
                       Duration limit,
                       Work work) {
  Duration time{0};
  for (; time < limit && harness.targets.sends.size() < sends; time += kStep) {
    work();
    harness.clock.Advance(kStep);
  }
  return time;
}

Duration AdvanceToSend(ForwardingHarness& harness,
                       std::size_t sends,
                       Duration limit) {
  return AdvanceToSend(harness, sends, limit, [] {});
}

std::vector<EngineId> ListEngines(const TargetSend& send) {
  std::vector<EngineId> engines = {send.target.id};
  for (const PrefillHelper& it : send.helpers) {
    engines.push_back(it.engine.id);
  }
  return engines;
}

bool HasChecked(const ForwardingHarness& harness, const EngineId& engine) {
  return std::count(harness.targets.checks.begin(),
                    harness.targets.checks.end(), engine) > 0;
}

// Guards against the case that was seen: sent after 3.5 s, silent until its
// deadline, and no time left for a second attempt.
TEST_CASE(
    "a large prompt at a silent engine is served by another one in time") {
  ForwardingHarness harness;
  harness.forwarder->ApplyConfig(MakeLargePromptConfig());
  harness.AddEngines(6);
  for (int i = 0; i < 6; ++i) {
    EngineNotice notice;
    notice.pause = milliseconds(3500);
    harness.targets.notices->OnEngineNotice(
        {EngineId("engine-" + std::to_string(10 + i)),
         {"10.0.0.1", static_cast<std::uint16_t>(8000 + i)}},
        notice);
  }
  const auto caller = harness.Handle(ForwardingHarness::Prompt(260'000));
  CHECK(AdvanceToSend(harness, 1, seconds(5)) >= milliseconds(3500));
  const Duration waited = AdvanceToSend(harness, 2, seconds(11));
  REQUIRE(harness.targets.sends.size() == 2);
  MESSAGE("second attempt after ",
          std::chrono::duration_cast<milliseconds>(waited).count(),
          " ms, with ",
          std::chrono::duration_cast<milliseconds>(harness.send(1).time_left)
              .count(),
          " ms left");
  CHECK(harness.send(1).time_left > seconds(4));
  CHECK(harness.send(1).target.id != harness.send(0).target.id);
  CHECK(HasChecked(harness, harness.send(0).target.id));
  harness.Stream(1, Event(0));
  harness.send(1).observer->OnEnd();
  CHECK(caller->has_ended);
  harness.clock.Advance(seconds(1));
  CHECK(harness.log_text.find("event=overdue") != std::string::npos);
  CHECK(harness.forwarder->GetMetricsText().find(
            "kingcupdrift_attempts_overdue_total 1\n") != std::string::npos);
}

// Guards against a prompt that waits for a helper, and against blame for the
// target, which progresses.
TEST_CASE("a prompt whose helpers hang goes to other engines") {
  ForwardingHarness harness;
  harness.AddEngines(24);
  PeerWork peer(harness);
  harness.Handle(ForwardingHarness::Prompt(150'000));
  const std::vector<EngineId> first = ListEngines(harness.send(0));
  REQUIRE(first.size() > 1);
  AdvanceToSend(harness, 2, seconds(8), [&] { peer.Finish(first.at(0)); });
  REQUIRE(harness.targets.sends.size() == 2);
  for (const EngineId& it : ListEngines(harness.send(1))) {
    CHECK(std::count(first.begin(), first.end(), it) == 0);
  }
  CHECK_FALSE(HasChecked(harness, first.at(0)));
  CHECK(HasChecked(harness, first.at(1)));
}

// Guards against abandoning sound engines under load.
TEST_CASE("a prompt stays at loaded engines that progress") {
  ForwardingHarness harness;
  harness.AddEngines(24);
  PeerWork peer(harness);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(150'000));
  AdvanceToSend(harness, 2, milliseconds(7900), [&] {
    for (const EngineId& it : ListEngines(harness.send(0))) {
      peer.Finish(it);
      peer.Start(it, milliseconds(150));
    }
  });
  REQUIRE(harness.targets.sends.size() == 1);
  harness.Stream(0, Event(0));
  harness.send(0).observer->OnEnd();
  CHECK(caller->has_ended);
  CHECK(harness.targets.checks.empty());
}

/// Predicted times to first event of all attempts, in the order of sending.
std::vector<Duration> ListPredictions(const std::string& log_text) {
  const std::string name = " predicted_ms=";
  std::vector<Duration> predictions;
  std::size_t line = log_text.find("event=send");
  for (; line != std::string::npos;
       line = log_text.find("event=send", line + 1)) {
    const std::size_t start = log_text.find(name, line) + name.size();
    predictions.push_back(milliseconds(
        static_cast<std::int64_t>(std::stod(log_text.substr(start)))));
  }
  return predictions;
}

// Guards against retries of a whole burst that its engines serve late.
TEST_CASE("no attempt of a burst at twice the predicted time is given up") {
  ForwardingHarness harness;
  harness.forwarder->ApplyConfig(MakeLargePromptConfig());
  harness.AddEngines(6);
  std::vector<std::shared_ptr<CallerRecord>> callers;
  callers.reserve(36);
  for (int i = 0; i < 36; ++i) {
    callers.push_back(
        harness.Handle(ForwardingHarness::Prompt(i % 6 == 0 ? 200'000 : 2000)));
  }
  std::vector<MonotonicTime> sent_at;
  Duration longest{0};
  for (Duration time{0}; time < seconds(15); time += milliseconds(10)) {
    sent_at.resize(harness.targets.sends.size(), harness.clock.Now());
    const std::vector<Duration> predictions = ListPredictions(harness.log_text);
    for (std::size_t i = 0; i < predictions.size(); ++i) {
      if (harness.send(i).observer != nullptr &&
          harness.clock.Now() - sent_at.at(i) >= 2 * predictions[i]) {
        longest = std::max(longest, predictions[i]);
        harness.Stream(i, Event(0));
        harness.send(i).observer->OnEnd();
      }
    }
    harness.clock.Advance(milliseconds(10));
  }
  CHECK(longest > seconds(2));
  for (const auto& it : callers) {
    CHECK(it->has_ended);
  }
  CHECK(harness.targets.sends.size() == callers.size());
  CHECK(harness.targets.checks.empty());
}

// Guards against attempts that are given up without a second one.
TEST_CASE("an overdue attempt goes on if no second one is possible") {
  ForwardingHarness harness;
  std::string reason;
  int engines = 6;
  SUBCASE("no retry budget") {
    harness.forwarder->SetEntryCount(1'000'000);
    reason = "no retry budget";
  }
  SUBCASE("no other engine") {
    engines = 1;
    reason = "no other engine";
  }
  SUBCASE("no idempotent route") {
    harness.forwarder->ApplyConfig(MakeLargePromptConfig(RetrySafety::kOnce));
  }
  harness.AddEngines(engines);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(2000));
  harness.clock.Advance(milliseconds(7500));
  CHECK(harness.targets.sends.size() == 1);
  CHECK(harness.targets.checks.empty());
  CHECK(harness.log_text.find(reason) != std::string::npos);
  REQUIRE(harness.send(0).observer != nullptr);
  harness.Stream(0, Event(0));
  harness.send(0).observer->OnEnd();
  CHECK(caller->has_ended);
}

// Guards against a caller that repeats a request which an engine still runs.
TEST_CASE("a request whose attempt was given up counts as possibly run") {
  ForwardingHarness harness;
  harness.AddEngines(6);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(2000));
  AdvanceToSend(harness, 2, seconds(8));
  REQUIRE(harness.targets.sends.size() == 2);
  CHECK(harness.send(0).observer == nullptr);
  harness.Decline(1);
  while (!caller->refusal) {
    harness.Decline(harness.targets.sends.size() - 1);
  }
  CHECK_FALSE(GuaranteesNotRun(caller->refusal->type));
}

// Guards against heartbeats, and against a later process under the engine's
// identifier, that are taken for progress. An entry that has just started gets
// all work of the others by heartbeat.
TEST_CASE("only new first events of the engine's process are progress") {
  ForwardingHarness harness;
  harness.AddEngines(6);
  PeerWork peer(harness);
  harness.Handle(ForwardingHarness::Prompt(2000));
  const EngineAddress target = harness.send(0).target;
  bool is_replaced = false;
  SUBCASE("heartbeats") {}
  SUBCASE("later process") {
    is_replaced = true;
    harness.forwarder->UpdateTarget(
        {{target.id, target.endpoint, Incarnation(7)},
         ServiceId("model"),
         FailureDomain("a"),
         16});
  }
  const Duration time = AdvanceToSend(harness, 2, seconds(8), [&] {
    peer.Repeat(target.id);
    if (is_replaced) {
      peer.Finish(target.id);
    }
  });
  CHECK(harness.targets.sends.size() == 2);
  CHECK(time < seconds(3));
}

// Guards against entries that give sound attempts up, or keep silent ones, for
// want of what they knew before their restart.
TEST_CASE("entries that have just started serve prompts of a silent engine") {
  ModelEnginesHarness harness(6);
  for (std::size_t i = 0; i < 6; ++i) {
    harness.Ask(i, {"part"});
  }
  harness.Steps(4);
  for (const auto& node : harness.nodes) {
    node->Kill();
  }
  harness.Steps(20);
  harness.AddNodes(6, "restarted-");
  harness.Steps(60);
  std::vector<std::shared_ptr<CallerRecord>> callers = {harness.Ask(6, {})};
  harness.silent = {harness.nodes[6]->targets.sends.at(0)->target.id};
  for (int i = 1; i < 30; ++i) {
    callers.push_back(harness.Ask(6 + static_cast<std::size_t>(i % 6), {}));
    harness.Steps(2);
  }
  harness.Steps(100);
  int silent_sends = 0;
  int sends = 0;
  for (std::size_t i = 6; i < harness.size(); ++i) {
    for (const auto& it : harness.nodes[i]->targets.sends) {
      ++sends;
      silent_sends += harness.silent.contains(it->target.id) ? 1 : 0;
    }
  }
  for (const auto& it : callers) {
    CHECK(it->has_ended);
  }
  REQUIRE(silent_sends > 0);
  // No other attempt was repeated.
  CHECK(sends == 30 + silent_sends);
}

// Guards against a fleet that sends everything twice once all engines hang.
TEST_CASE("many overdue attempts at once stay within a part of the budget") {
  constexpr int kPrompts = 800;
  for (const int entries : {1, 6, 33, 82, 195}) {
    CAPTURE(entries);
    int overdue = 0;
    for (int entry = 0; entry < entries; ++entry) {
      ForwardingHarness harness;
      harness.random = SeededRandom(static_cast<std::uint64_t>(entry) + 1);
      harness.forwarder->SetEntryCount(static_cast<std::size_t>(entries));
      harness.AddEngines(60);
      std::size_t prompts = 0;
      for (int i = entry; i < kPrompts; i += entries) {
        harness.Handle(ForwardingHarness::Prompt(2000));
        ++prompts;
      }
      const std::size_t sent = harness.targets.sends.size();
      REQUIRE(sent > 0);
      harness.clock.Advance(milliseconds(7500));
      const std::string metrics = harness.forwarder->GetMetricsText();
      const std::string name = "\nkingcupdrift_attempts_overdue_total ";
      overdue += std::stoi(metrics.substr(metrics.find(name) + name.size()));
    }
    const double budget =
        RetryBudgetShare::kUsableShare * (100 + 0.2 * kPrompts);
    MESSAGE("entries ", entries, ": budget ", budget, ", overdue ", overdue);
    CHECK(overdue > 0);
    CHECK(overdue <= budget / 2);
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
