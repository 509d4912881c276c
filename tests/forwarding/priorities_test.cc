#include <doctest/doctest.h>

#include <string>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSlots = 16;

/// Two routes for prompts with these priorities; the first is /prompt/. The
/// workspace of "urgent-key" has priority 1.
ServingConfig ConfigWith(std::optional<int> prompt, std::optional<int> other) {
  ServingConfig config = ForwardingHarness::Config();
  config.version = Generation(2);
  RouteRule route = config.routes.at(0);
  route.prefix = "/other/";
  route.priority = other;
  config.routes.at(0).priority = prompt;
  config.routes.push_back(route);
  return config;
}

ForwardCall Prompt(const std::string& id,
                   const std::string& prefix,
                   std::int64_t tokens = 1000) {
  ForwardCall call = ForwardingHarness::Prompt(tokens);
  call.id = RequestId(id);
  call.target = prefix + "x";
  return call;
}

/// Fills all slots of the only engine.
void FillEngine(ForwardingHarness& harness) {
  harness.AddEngines(1);
  std::vector<std::shared_ptr<CallerRecord>> callers;
  while (harness.targets.sends.size() < kSlots) {
    const std::size_t sends = harness.targets.sends.size();
    callers.push_back(harness.Handle(Prompt("first", "/prompt/", 100)));
    harness.clock.Advance(milliseconds(20));
    REQUIRE(harness.targets.sends.size() == sends + 1);
    harness.Stream(sends, Event(1));
  }
}

void EndStream(ForwardingHarness& harness, std::size_t send) {
  REQUIRE(harness.send(send).observer != nullptr);
  harness.send(send).observer->OnEnd();
  harness.clock.Advance(milliseconds(20));
}

std::string IdOf(ForwardingHarness& harness, std::size_t send) {
  return harness.send(send).request.value();
}

TEST_CASE("engines get the priority of prompts if priorities differ") {
  ForwardingHarness harness;
  harness.AddEngines(3);
  harness.AddPlainTargets(1);
  const auto priority_of = [&harness](const ForwardCall& call) {
    harness.Handle(call);
    return harness.targets.sends.back()->priority;
  };
  ServingConfig config = ConfigWith(3, std::nullopt);
  config.workspace_of_key["urgent-key"] = WorkspaceId("urgent");
  config.workspace_priorities[WorkspaceId("urgent")] = 1;
  harness.forwarder->ApplyConfig(config);
  CHECK(priority_of(Prompt("a", "/prompt/")) == 3);
  CHECK_FALSE(priority_of(Prompt("b", "/other/")));
  ForwardCall urgent = Prompt("c", "/other/");
  urgent.key = "urgent-key";
  CHECK(priority_of(urgent) == 1);
  // Plain targets know no priorities.
  CHECK_FALSE(priority_of(ForwardingHarness::Call("/safe/x")));
}

// Negative test: without differing priorities nothing changes on the wire.
TEST_CASE("engines get no priority if all are the same") {
  ForwardingHarness harness;
  harness.AddEngines(3);
  ServingConfig config = ConfigWith(3, 3);
  for (RouteRule& it : config.routes) {
    it.priority = 3;
  }
  harness.forwarder->ApplyConfig(config);
  harness.Handle(Prompt("a", "/prompt/"));
  REQUIRE(harness.targets.sends.size() == 1);
  CHECK_FALSE(harness.send(0).priority);
}

// Failure: a short less urgent prompt takes the slot that an urgent one waits
// for, either from the queue or on its arrival.
TEST_CASE("a slot goes to the more urgent prompt, even if it is longer") {
  ForwardingHarness harness;
  harness.forwarder->ApplyConfig(ConfigWith(0, 2));
  FillEngine(harness);
  harness.Handle(Prompt("less urgent", "/other/", 100));
  harness.Handle(Prompt("urgent", "/prompt/", 2000));
  harness.clock.Advance(milliseconds(20));
  REQUIRE(harness.targets.sends.size() == kSlots);
  // The queue is not yet tried when the next one arrives.
  harness.send(0).observer->OnEnd();
  harness.Handle(Prompt("less urgent later", "/other/", 100));
  CHECK(harness.targets.sends.size() == kSlots);
  harness.clock.Advance(milliseconds(20));
  REQUIRE(harness.targets.sends.size() == kSlots + 1);
  CHECK(IdOf(harness, kSlots) == "urgent");
  harness.Stream(kSlots, Event(1));
  EndStream(harness, 1);
  REQUIRE(harness.targets.sends.size() == kSlots + 2);
  CHECK(IdOf(harness, kSlots + 1) == "less urgent");
}

// Negative test: as before, the shortest prompt comes first.
TEST_CASE("with equal priorities a slot goes to the shortest prompt") {
  ForwardingHarness harness;
  ServingConfig config = ConfigWith(2, 2);
  for (RouteRule& it : config.routes) {
    it.priority = 2;
  }
  harness.forwarder->ApplyConfig(config);
  FillEngine(harness);
  harness.Handle(Prompt("long", "/prompt/", 2000));
  harness.Handle(Prompt("short", "/other/", 100));
  EndStream(harness, 0);
  REQUIRE(harness.targets.sends.size() == kSlots + 1);
  CHECK(IdOf(harness, kSlots) == "short");
}

// Failure: a request that is held waits beyond its time to the first event.
TEST_CASE("a held request that can't be served in time is refused") {
  ForwardingHarness harness;
  ServingConfig config = ConfigWith(0, 2);
  config.routes.back().first_event_timeout = milliseconds(1000);
  harness.forwarder->ApplyConfig(config);
  FillEngine(harness);
  const auto urgent = harness.Handle(Prompt("urgent", "/prompt/", 2000));
  harness.clock.Advance(milliseconds(200));
  const auto held = harness.Handle(Prompt("held", "/other/", 100));
  harness.clock.Advance(milliseconds(900));
  CHECK_FALSE(held->refusal);
  harness.clock.Advance(milliseconds(150));
  REQUIRE(held->refusal);
  CHECK(held->refusal->type == ForwardRefusalType::kOverloaded);
  CHECK_FALSE(urgent->refusal);
  const std::string metrics = harness.forwarder->GetMetricsText();
  CHECK(metrics.find(
            "kingcupdrift_requests_waiting_by_priority{priority=\"0\"} 1") !=
        std::string::npos);
  CHECK(metrics.find("kingcupdrift_less_urgent_holds_total 1") !=
        std::string::npos);
  harness.log.Flush();
  CHECK(harness.log_text.find("event=hold") != std::string::npos);
}

}  // namespace
}  // namespace kingcupdrift::fakes
