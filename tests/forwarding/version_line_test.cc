// Events with the line that tells a new version of the engine's weights.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupdrift/forwarding/sse_framer.h"
#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

const std::string kField = "weight-versions";

std::string VersionEvent(int id, const std::string& line) {
  return line + "\n" + Event(id);
}

// Guards against a stream that is cut off where the engine's weights change.
TEST_CASE("an event with a version reaches the caller as the engine sent it") {
  for (const std::string& line :
       {kField + ": 2", kField + ":2", kField + ":  17", kField + ": 0",
        kField + ": -1", kField + ": 2 ", kField + ":\t2",
        kField + ": 184467440737095516160"}) {
    const std::vector<std::string> texts = {
        VersionEvent(1, line) + Event(2) + Event(3),
        Event(1) + VersionEvent(2, line) + Event(3),
        Event(1) + Event(2) + VersionEvent(3, line),
        VersionEvent(1, line) + VersionEvent(2, line) + VersionEvent(3, line),
        Event(1) + line + "\r\nid: 2\r\ndata: x\r\n\r\n" + Event(3),
        Event(1) + line + "\nid: 2\ndata: x\n\r\n" + Event(3),
        Event(1) + Event(2) + line + "\n\n" + Event(3),
        Event(1) + Event(2) + "event: e\nid: 3\n" + line + "\ndata: x\n\n"};
    for (const std::string& text : texts) {
      CAPTURE(text);
      for (std::size_t split = 0; split <= text.size(); ++split) {
        SseFramer framer(std::nullopt, kField);
        framer.StartAttempt();
        const auto first = framer.Feed(text.substr(0, split));
        REQUIRE(first);
        const auto second = framer.Feed(text.substr(split));
        REQUIRE(second);
        CHECK(*first + *second == text);
        CHECK(framer.last_event_id() == 3);
        CHECK(framer.CanResume());
        CHECK_FALSE(framer.HasPartialEvent());
      }
    }
  }
}

TEST_CASE("a line that only resembles a version is no event") {
  for (const std::string& line :
       {kField, kField + ":", kField + ": ", kField + ": two", kField + ": 2x",
        kField + ": 1 2", kField + "-old: 2", std::string("weight-version: 2"),
        std::string("Weight-Versions: 2"), " " + kField + ": 2"}) {
    CAPTURE(line);
    SseFramer framer(std::nullopt, kField);
    CHECK_FALSE(framer.Feed(VersionEvent(1, line)));
  }
  // Engines of another platform have no such line.
  SseFramer other(std::nullopt);
  CHECK_FALSE(other.Feed(VersionEvent(1, kField + ": 2")));
}

// Guards against a resumed stream whose second engine's version is lost, or
// whose events are dropped with it.
TEST_CASE("a resumed stream keeps the versions of its new events") {
  SseFramer framer(std::nullopt, kField);
  framer.StartAttempt();
  const std::string line = kField + ": 3";
  CHECK(*framer.Feed(Event(1) + kField + ": 2\nid: 2\nda") == Event(1));
  framer.StartAttempt();
  CHECK(*framer.Feed(VersionEvent(2, line) + Event(3)) ==
        VersionEvent(2, line) + Event(3));
  framer.StartAttempt();
  // The caller has the second and the third event.
  CHECK(*framer.Feed(VersionEvent(3, line) + VersionEvent(4, line)) ==
        VersionEvent(4, line));
}

TEST_CASE("a stream goes on at another engine after versions alone") {
  ForwardingHarness harness;
  harness.AddEngines(3);
  const std::string versions = kField + ": 2\n\n";
  const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
  harness.Stream(0, Event(1) + versions);
  harness.Fail(0, ErrorCode::kConnectionLost);
  REQUIRE(harness.targets.sends.size() == 2);
  const std::string rest = VersionEvent(2, kField + ": 3");
  harness.Stream(1, rest);
  harness.send(1).observer->OnEnd();
  CHECK(caller->has_ended);
  CHECK(caller->bytes == Event(1) + versions + rest);
}

}  // namespace
}  // namespace kingcupdrift::fakes
