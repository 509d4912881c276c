#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupdrift/forwarding/internal/wait_estimate.h"
#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLeast = milliseconds(300);

WaitEstimateInput Input(Duration ahead, Duration backlog) {
  WaitEstimateInput input;
  input.work_ahead = ahead;
  input.backlog = backlog;
  input.engines = 10;
  input.ideal_time = milliseconds(200);
  input.time_left = seconds(2);
  input.whole_time = seconds(2);
  return input;
}

// Failure: an estimate that may be wrong rejects a request that could be
// served.
TEST_CASE("the least wait divides all work among all engines") {
  CHECK(EstimateLeastWait(Input(seconds(5), seconds(5))) == milliseconds(800));
  CHECK_FALSE(FindRetryTime(Input(seconds(12), seconds(10)), kLeast));
  CHECK(FindRetryTime(Input(seconds(13), seconds(10)), kLeast));
  // Negative test: with free engines and nobody ahead there is no refusal, even
  // if little time is left.
  WaitEstimateInput late = Input(Duration::zero(), Duration::zero());
  late.time_left = milliseconds(1);
  CHECK_FALSE(FindRetryTime(late, kLeast));
  // Figures that make no sense never refuse.
  CHECK_FALSE(FindRetryTime(Input(seconds(-100), seconds(-1)), kLeast));
  WaitEstimateInput none = Input(seconds(100), seconds(100));
  none.engines = 0;
  CHECK_FALSE(FindRetryTime(none, kLeast));
}

TEST_CASE("the retry time ends when the excess work is done, within bounds") {
  // A wait of 4 s, of which a new request may wait 1.8 s.
  CHECK(FindRetryTime(Input(seconds(50), Duration::zero()), kLeast) ==
        milliseconds(2200));
  CHECK(FindRetryTime(Input(seconds(23), Duration::zero()), kLeast) == kLeast);
  CHECK(FindRetryTime(Input(seconds(5000), seconds(1)), kLeast) ==
        kMaxRetryTime);
}

ServingConfig Config() {
  ServingConfig config = ForwardingHarness::Config();
  config.version = Generation(2);
  RouteRule route = config.routes.at(0);
  route.prefix = "/other/";
  route.priority = 2;
  config.routes.at(0).priority = 0;
  config.routes.push_back(route);
  return config;
}

ForwardCall Prompt(const std::string& prefix, std::int64_t tokens) {
  ForwardCall call = ForwardingHarness::Prompt(tokens);
  call.target = prefix + "x";
  return call;
}

/// Another entry has a prompt with this prefill time at the only engine.
void AddPeerWork(ForwardingHarness& harness, Duration prefill_time) {
  WorkNote note;
  note.attempt = AttemptId("entry-2-0");
  note.engine = EngineId("engine-10");
  note.prompt = TokenCount(250'000);
  note.output = TokenCount(100);
  note.max_event_gap = milliseconds(250);
  note.part_prefill_time = prefill_time;
  harness.forwarder->ApplyPeerWork(InstanceId("entry-2"), note);
}

// Failure: a prompt without a chance waits until its time has passed, so that
// its caller has no time left for another try.
TEST_CASE("a prompt behind too much work is refused at once") {
  ForwardingHarness harness;
  ServingConfig config = Config();
  config.routes.back().first_event_timeout = seconds(2);
  harness.forwarder->ApplyConfig(config);
  harness.AddEngines(1);
  AddPeerWork(harness, seconds(7));
  const auto caller = harness.Handle(Prompt("/other/", 5000));
  harness.clock.Advance(milliseconds(20));
  REQUIRE(caller->refusal);
  CHECK(caller->refusal->type == ForwardRefusalType::kOverloaded);
  CHECK(caller->refusal->retry_after > seconds(3));
  CHECK(caller->refusal->retry_after < seconds(5));
  CHECK(harness.forwarder->GetMetricsText().find(
            "kingcupdrift_refused_early_total 1") != std::string::npos);
  harness.log.Flush();
  CHECK(harness.log_text.find("event=refuse_early") != std::string::npos);
}

// Negative test: the same prompt waits if the work may be done in time.
TEST_CASE("a prompt waits while its time may be enough") {
  ForwardingHarness harness;
  ServingConfig config = Config();
  config.routes.back().first_event_timeout = seconds(2);
  harness.forwarder->ApplyConfig(config);
  harness.AddEngines(1);
  AddPeerWork(harness, milliseconds(2200));
  const auto caller = harness.Handle(Prompt("/other/", 5000));
  harness.clock.Advance(milliseconds(500));
  CHECK_FALSE(caller->refusal);
  CHECK(harness.targets.sends.empty());
  // The work ended earlier than predicted.
  WorkNote ended;
  ended.attempt = AttemptId("entry-2-0");
  ended.phase = WorkPhase::kEnded;
  harness.forwarder->ApplyPeerWork(InstanceId("entry-2"), ended);
  harness.clock.Advance(milliseconds(20));
  CHECK(harness.targets.sends.size() == 1);
}

// Failure: urgent or small work is refused while less urgent or larger work
// waits.
TEST_CASE("less urgent work is refused first, then larger work") {
  ForwardingHarness harness;
  harness.forwarder->ApplyConfig(Config());
  harness.AddEngines(1);
  constexpr std::size_t kSlots = 16;
  std::vector<std::shared_ptr<CallerRecord>> streams;
  while (harness.targets.sends.size() < kSlots) {
    const std::size_t sends = harness.targets.sends.size();
    streams.push_back(harness.Handle(Prompt("/prompt/", 100)));
    harness.clock.Advance(milliseconds(20));
    REQUIRE(harness.targets.sends.size() == sends + 1);
    harness.Stream(sends, Event(1));
  }
  constexpr int kCount = 20;
  struct Group {
    std::string prefix;
    std::int64_t tokens;
    int refused = 0;
  };
  // About 2 x 20 x 0.25 s and 20 x 0.5 s of prefill; 8 s / 0.8 are available.
  std::vector<Group> groups = {
      {"/other/", 50'000}, {"/other/", 30'000}, {"/prompt/", 30'000}};
  std::vector<std::vector<std::shared_ptr<CallerRecord>>> callers(3);
  for (std::size_t i = 0; i < groups.size(); ++i) {
    for (int k = 0; k < kCount; ++k) {
      callers[i].push_back(
          harness.Handle(Prompt(groups[i].prefix, groups[i].tokens)));
    }
  }
  harness.clock.Advance(milliseconds(150));
  for (std::size_t i = 0; i < groups.size(); ++i) {
    for (const auto& it : callers[i]) {
      groups[i].refused += it->refusal ? 1 : 0;
    }
  }
  CHECK(groups[0].refused == kCount);
  CHECK(groups[1].refused < kCount / 2);
  CHECK(groups[2].refused == 0);
  CHECK(harness.targets.sends.size() == kSlots);
}

}  // namespace
}  // namespace kingcupdrift::fakes
