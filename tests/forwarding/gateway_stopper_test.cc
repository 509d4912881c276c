// A planned stop of an entry (serving process): what callers get whose requests
// have not ended when it is over.

#include "kingcupdrift/forwarding/gateway_stopper.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "tests/forwarding/gateway_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLimit = seconds(6);
constexpr Duration kEnd = kLimit - GatewayStopper::GetAnswerTime(kLimit);

/// One entry with the target "t1", which answers only as the test says.
struct StopHarness : GatewayHarness {
  explicit StopHarness(Duration limit = kLimit)
      : GatewayHarness(1),
        stopper(
            clock,
            *nodes[0]->gateway,
            limit,
            [this] { return unsent; },
            [this] { done_at = clock.Now(); }) {}

  void Begin() {
    began_at = clock.Now();
    stopper.Begin();
  }
  void AdvanceTo(Duration since_begin) {
    clock.Advance(began_at + since_begin - clock.Now());
  }
  std::shared_ptr<CallerRecord> Ask(const std::string& path,
                                    Duration time_limit) {
    ForwardCall call = ForwardingHarness::Call(path);
    call.key = "kept";
    call.time_limit = time_limit;
    auto record = std::make_shared<CallerRecord>();
    nodes[0]->gateway->Handle(std::move(call), MakeRecordingSink(record));
    return record;
  }

  std::size_t unsent = 0;
  MonotonicTime began_at;
  std::optional<MonotonicTime> done_at;
  GatewayStopper stopper;
};

// Guards against requests that are taken during a planned stop, passed on, and
// cut off without an answer at its end.
TEST_CASE("every request in progress has an answer when a stop is over") {
  StopHarness harness;
  const std::string path = "/once/x";
  const auto before = harness.Ask(path, seconds(20));
  harness.Begin();
  harness.AdvanceTo(seconds(1));
  const auto early = harness.Ask(path, seconds(20));
  harness.AdvanceTo(seconds(3));
  const auto too_late = harness.Ask(path, seconds(20));
  const auto in_time = harness.Ask(path, seconds(2));
  const auto at_the_end = harness.Ask(path, kEnd - seconds(3));
  harness.AdvanceTo(kEnd);
  REQUIRE(before->refusal);
  REQUIRE(early->refusal);
  REQUIRE(in_time->refusal);
  REQUIRE(at_the_end->refusal);
  // They may have run, which a refusal must not deny.
  CHECK(before->refusal->type == ForwardRefusalType::kTargetFailed);
  CHECK(early->refusal->type == ForwardRefusalType::kTargetFailed);
  CHECK(in_time->refusal->type == ForwardRefusalType::kTimeLimitAfterSend);
  CHECK(at_the_end->refusal->type == ForwardRefusalType::kTimeLimitAfterSend);
  REQUIRE(too_late->refusal);
  CHECK(too_late->refusal->type == ForwardRefusalType::kLeaving);
  for (const auto& it : harness.nodes[0]->targets.sends) {
    CHECK(it->observer == nullptr);
  }
  harness.AdvanceTo(kLimit);
  REQUIRE(harness.done_at);
  CHECK(*harness.done_at - harness.began_at <=
        kLimit - GatewayStopper::GetExitMargin(kLimit));
}

TEST_CASE("the process ends only when the last answers are sent") {
  StopHarness harness;
  const auto asked = harness.Ask("/once/x", seconds(20));
  harness.Begin();
  harness.unsent = 1;
  harness.AdvanceTo(kEnd + milliseconds(200));
  CHECK(asked->refusal);
  CHECK_FALSE(harness.done_at);
  harness.unsent = 0;
  harness.clock.Advance(milliseconds(100));
  CHECK(harness.done_at);
}

// Guards against a caller that does not read its answer and keeps the process
// until the platform kills it.
TEST_CASE("the process ends in time although an answer can't be sent") {
  StopHarness harness;
  harness.unsent = 1;
  harness.Begin();
  harness.AdvanceTo(kLimit - milliseconds(40));
  CHECK(harness.done_at);
}

// Guards against work that is cut off before the last sixth of a short limit.
TEST_CASE("work may end until the last sixth of any limit") {
  for (const Duration limit :
       {milliseconds(600), milliseconds(2000), milliseconds(3000)}) {
    CAPTURE(limit.count());
    StopHarness harness(limit);
    const auto asked = harness.Ask("/once/x", seconds(20));
    harness.Begin();
    harness.AdvanceTo(limit * 5 / 6 - milliseconds(1));
    CHECK_FALSE(asked->IsOver());
    harness.AdvanceTo(limit);
    CHECK(asked->refusal);
    REQUIRE(harness.done_at);
    CHECK(*harness.done_at < harness.began_at + limit);
  }
}

// Guards against a request that waits until the stop is nearly over, and is
// then sent to an engine and cut off.
TEST_CASE("what can't be answered before the end of a stop is not sent") {
  StopHarness harness;
  const auto early = harness.Ask("/once/x", seconds(20));
  harness.nodes[0]->targets.notices->OnEngineNotice(
      harness.nodes[0]->targets.sends.back()->target,
      {.pause = kEnd - milliseconds(100)});
  const auto waiting = harness.Ask("/once/x", seconds(20));
  harness.Begin();
  CHECK(harness.nodes[0]->targets.sends.size() == 1);
  harness.AdvanceTo(kEnd - milliseconds(20));
  CHECK(harness.nodes[0]->targets.sends.size() == 1);
  CHECK_FALSE(early->IsOver());
  REQUIRE(waiting->refusal);
  CHECK(waiting->refusal->type == ForwardRefusalType::kLeaving);
}

// Counter-tests: the end of the stop takes nothing from requests that end.
TEST_CASE("a stop without requests is short, and answers are passed on") {
  StopHarness idle;
  idle.Begin();
  idle.AdvanceTo(GatewayStopper::kMinTime - milliseconds(100));
  CHECK_FALSE(idle.done_at);
  idle.AdvanceTo(GatewayStopper::kMinTime + milliseconds(200));
  CHECK(idle.done_at);

  StopHarness busy;
  const auto asked = busy.Ask("/once/x", seconds(20));
  busy.Begin();
  busy.AdvanceTo(kEnd - milliseconds(1));
  CHECK_FALSE(asked->IsOver());
  const auto send = busy.nodes[0]->targets.sends.back();
  TargetResponseHead head;
  head.status = 200;
  head.request = send->request;
  head.is_signed = true;
  send->observer->OnResponseHead(head);
  send->observer->OnEnd();
  REQUIRE(asked->reply);
  CHECK(asked->reply->status == 200);
  busy.AdvanceTo(kLimit);
  CHECK(busy.done_at);
}

}  // namespace
}  // namespace kingcupdrift::fakes
