#include "kingcupdrift/routing/work_tracker.h"

#include <doctest/doctest.h>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;

const InstanceId kEntry("entry-1");
const EngineId kDecodeEngine("decode");
const EngineId kHelper("helper");

WorkNote MakeNote(const std::string& attempt) {
  WorkNote note;
  note.attempt = AttemptId(attempt);
  note.engine = kDecodeEngine;
  note.helpers = {kHelper};
  note.prompt = TokenCount(1000);
  note.output = TokenCount(100);
  note.max_event_gap = milliseconds(250);
  note.part_prefill_time = milliseconds(40);
  return note;
}

TEST_CASE("work counts at its decode engine and at its prefill helpers") {
  ManualClock clock;
  WorkTracker tracker(clock);
  tracker.Apply(kEntry, MakeNote("a"));
  CHECK(tracker.GetEngineLoad(kDecodeEngine).streams == 1);
  CHECK(tracker.GetEngineLoad(kDecodeEngine).context == TokenCount(1100));
  CHECK(tracker.GetEngineLoad(kDecodeEngine).max_event_gap ==
        milliseconds(250));
  CHECK(tracker.GetEngineLoad(kHelper).streams == 0);
  CHECK(tracker.GetEngineLoad(kHelper).partial_prefills == 1);
  CHECK(tracker.GetEngineLoad(kHelper).backlog == milliseconds(40));
}

TEST_CASE("a backlog shrinks with time and ends with the first event") {
  ManualClock clock;
  WorkTracker tracker(clock);
  tracker.Apply(kEntry, MakeNote("a"));
  tracker.Apply(kEntry, MakeNote("b"));
  CHECK(tracker.GetEngineLoad(kDecodeEngine).backlog == milliseconds(80));
  clock.Advance(milliseconds(10));
  CHECK(tracker.GetEngineLoad(kDecodeEngine).backlog == milliseconds(70));
  WorkNote decoding;
  decoding.attempt = AttemptId("a");
  decoding.phase = WorkPhase::kDecoding;
  tracker.Apply(kEntry, decoding);
  CHECK(tracker.GetEngineLoad(kDecodeEngine).backlog == milliseconds(40));
  CHECK(tracker.GetEngineLoad(kDecodeEngine).streams == 2);
  CHECK(tracker.GetEngineLoad(kHelper).partial_prefills == 1);
}

// Guards against stalls by parts that look done but wait for the engine's next
// iteration, in which they are prefilled together.
TEST_CASE("prefills count as pending until an iteration has taken them up") {
  ManualClock clock;
  WorkTracker tracker(clock);
  WorkNote stream = MakeNote("stream");
  stream.helpers.clear();
  stream.phase = WorkPhase::kDecoding;
  tracker.Apply(kEntry, stream);
  tracker.Apply(kEntry, MakeNote("a"));
  clock.Advance(milliseconds(100));
  tracker.Apply(kEntry, MakeNote("b"));
  const EngineLoad load = tracker.GetEngineLoad(kDecodeEngine);
  CHECK(load.backlog == milliseconds(40));
  CHECK(load.pending_prefill == milliseconds(80));
  // Without streams nothing stalls.
  CHECK(tracker.GetEngineLoad(kHelper).pending_prefill == Duration::zero());
  clock.Advance(milliseconds(150));
  CHECK(tracker.GetEngineLoad(kDecodeEngine).pending_prefill ==
        milliseconds(40));
  WorkNote decoding;
  decoding.attempt = AttemptId("b");
  decoding.phase = WorkPhase::kDecoding;
  tracker.Apply(kEntry, decoding);
  CHECK(tracker.GetEngineLoad(kDecodeEngine).pending_prefill ==
        Duration::zero());
}

TEST_CASE("ended work leaves no load behind") {
  ManualClock clock;
  WorkTracker tracker(clock);
  tracker.Apply(kEntry, MakeNote("a"));
  WorkNote ended;
  ended.attempt = AttemptId("a");
  ended.phase = WorkPhase::kEnded;
  tracker.Apply(kEntry, ended);
  CHECK(tracker.GetEngineLoad(kDecodeEngine).streams == 0);
  CHECK(tracker.GetEngineLoad(kDecodeEngine).context == TokenCount(0));
  CHECK(tracker.GetEngineLoad(kHelper).backlog == Duration::zero());
}

TEST_CASE("memory held by helpers counts there and not at the decode engine") {
  ManualClock clock;
  WorkTracker tracker(clock);
  WorkNote note = MakeNote("a");
  note.held = {TokenCount(600)};
  tracker.Apply(kEntry, note);
  CHECK(tracker.GetEngineLoad(kDecodeEngine).context == TokenCount(500));
  CHECK(tracker.GetEngineLoad(kHelper).context == TokenCount(600));
}

TEST_CASE("the work of a removed entry is dropped") {
  ManualClock clock;
  WorkTracker tracker(clock);
  tracker.Apply(kEntry, MakeNote("a"));
  tracker.Apply(InstanceId("entry-2"), MakeNote("b"));
  tracker.RemoveOwner(kEntry);
  CHECK(tracker.GetEngineLoad(kDecodeEngine).streams == 1);
}

TEST_CASE(
    "notes of an entry's whole work reproduce its load in another tracker") {
  ManualClock clock;
  WorkTracker tracker(clock);
  tracker.Apply(kEntry, MakeNote("a"));
  tracker.Apply(kEntry, MakeNote("b"));
  WorkNote decoding;
  decoding.attempt = AttemptId("b");
  decoding.phase = WorkPhase::kDecoding;
  tracker.Apply(kEntry, decoding);
  WorkTracker other(clock);
  for (const WorkNote& it : tracker.ListOwnerWork(kEntry)) {
    other.Apply(kEntry, it);
  }
  CHECK(other.GetEngineLoad(kDecodeEngine).streams == 2);
  CHECK(other.GetEngineLoad(kDecodeEngine).backlog == milliseconds(40));
}

TEST_CASE("work whose end note was lost is dropped after the maximum age") {
  ManualClock clock;
  WorkTracker tracker(clock);
  tracker.Apply(kEntry, MakeNote("a"));
  clock.Advance(WorkTracker::kMaxAge + milliseconds(1));
  tracker.Apply(kEntry, MakeNote("b"));
  CHECK(tracker.GetEngineLoad(kDecodeEngine).streams == 1);
}

}  // namespace
}  // namespace kingcupdrift::fakes
