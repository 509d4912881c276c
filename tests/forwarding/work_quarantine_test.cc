#include "kingcupdrift/forwarding/work_quarantine.h"

#include <doctest/doctest.h>

#include <string>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const WorkKey kCommon("common");
const WorkKey kBad("bad");

struct QuarantineHarness {
  /// A further engine ends with prompts of these parts.
  std::vector<WorkSuccess> Crash(const std::vector<WorkKey>& parts,
                                 Duration age = Duration::zero()) {
    EngineCrash crash{
        EngineId("engine-" + std::to_string(next_engine++)), {}, age, {}};
    for (std::size_t i = 0; i < parts.size(); ++i) {
      crash.suspects.push_back({parts[i], i});
    }
    last_crash = crash;
    return quarantine.AddCrash(crash);
  }
  bool IsHeldBack(const WorkKey& part) const {
    return quarantine.GetTimeLeft({part}) > Duration::zero();
  }

  ManualClock clock;
  WorkQuarantine quarantine{clock};
  EngineCrash last_crash;
  int next_engine = 0;
};

TEST_CASE("a part that was never answered is held back after three crashes") {
  QuarantineHarness harness;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(harness.IsHeldBack(kBad));
    harness.Crash({kBad});
    // Each engine's end counts once, however many entries report it.
    harness.quarantine.AddCrash(harness.last_crash);
  }
  CHECK(harness.IsHeldBack(kBad));
  CHECK(harness.quarantine.ListQuarantined() ==
        std::map<WorkKey, int>{{kBad, 3}});
}

TEST_CASE("the same engine in another process counts as another crash") {
  QuarantineHarness harness;
  for (int i = 1; i <= 3; ++i) {
    harness.quarantine.AddCrash(
        {EngineId("engine"), Incarnation(i), Duration::zero(), {{kBad, 0}}});
  }
  CHECK(harness.IsHeldBack(kBad));
}

TEST_CASE("a part that others answer is not held back with a crashing one") {
  QuarantineHarness harness;
  harness.quarantine.AddSuccess({kCommon}, Duration::zero());
  harness.clock.Advance(seconds(30));
  for (int i = 0; i < 10; ++i) {
    harness.Crash({kCommon, kBad});
  }
  CHECK(harness.IsHeldBack(kBad));
  CHECK_FALSE(harness.IsHeldBack(kCommon));
}

TEST_CASE("of two unknown parts the one that fewer prompts share is blamed") {
  QuarantineHarness harness;
  for (int i = 0; i < 3; ++i) {
    harness.Crash({kCommon, kBad});
  }
  CHECK(harness.IsHeldBack(kBad));
  CHECK_FALSE(harness.IsHeldBack(kCommon));
}

TEST_CASE("a shared part that crashes engines is blamed, not its companions") {
  QuarantineHarness harness;
  for (int i = 0; i < 3; ++i) {
    harness.Crash({kCommon, WorkKey("companion-" + std::to_string(i))});
  }
  CHECK(harness.IsHeldBack(kCommon));
  // A companion that was blamed first is released once the crashes go on
  // without it.
  QuarantineHarness later;
  for (int i = 0; i < 3; ++i) {
    later.Crash({kCommon, WorkKey("companion")});
  }
  CHECK(later.IsHeldBack(WorkKey("companion")));
  later.Crash({kCommon});
  CHECK(later.IsHeldBack(kCommon));
  CHECK_FALSE(later.IsHeldBack(WorkKey("companion")));
}

TEST_CASE("two crashing parts are both held back") {
  QuarantineHarness harness;
  const WorkKey other("other");
  for (int i = 0; i < 3; ++i) {
    harness.Crash({kBad});
    harness.Crash({other});
  }
  CHECK(harness.IsHeldBack(kBad));
  CHECK(harness.IsHeldBack(other));
}

TEST_CASE("an answer frees a part of all crashes before it") {
  QuarantineHarness harness;
  for (int i = 0; i < 3; ++i) {
    harness.Crash({kBad});
  }
  harness.clock.Advance(milliseconds(10));
  const auto cleared = harness.quarantine.AddSuccess({kBad}, Duration::zero());
  REQUIRE(cleared.size() == 1);
  CHECK(cleared[0].key == kBad);
  CHECK_FALSE(harness.IsHeldBack(kBad));
  // A crash that is reported late does not count either.
  CHECK(harness.Crash({kBad}, milliseconds(20)).size() == 1);
  CHECK(harness.quarantine.ListCrashes(minutes(10)).empty());
}

TEST_CASE("a part that begins to crash engines later is held back") {
  QuarantineHarness harness;
  harness.quarantine.AddSuccess({kBad}, Duration::zero());
  for (int i = 0; i < 5; ++i) {
    CHECK_FALSE(harness.IsHeldBack(kBad));
    harness.clock.Advance(milliseconds(250));
    harness.Crash({kBad});
  }
  CHECK(harness.IsHeldBack(kBad));
}

TEST_CASE("a part that was just answered is not blamed for many crashes") {
  QuarantineHarness harness;
  harness.quarantine.AddSuccess({kCommon}, Duration::zero());
  harness.clock.Advance(milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    harness.Crash({kCommon});
  }
  CHECK_FALSE(harness.IsHeldBack(kCommon));
}

TEST_CASE("the quarantine ends some minutes after the last crash") {
  QuarantineHarness harness;
  for (int i = 0; i < 3; ++i) {
    harness.Crash({kBad});
  }
  harness.clock.Advance(WorkQuarantine::kQuarantineTime - seconds(1));
  CHECK(harness.quarantine.GetTimeLeft({kCommon, kBad}) == seconds(1));
  harness.clock.Advance(seconds(1));
  CHECK_FALSE(harness.IsHeldBack(kBad));
  harness.Crash({kBad});
  CHECK_FALSE(harness.IsHeldBack(kBad));
}

// Guards against a quarantine of what sound prompts share with one that is sent
// again and again.
TEST_CASE("a repeated request is blamed before the parts of its prompt") {
  QuarantineHarness harness;
  const WorkKey request("request:1");
  for (int i = 0; i < 3; ++i) {
    harness.Crash({kCommon, request});
  }
  // By chance a sound prompt with the same part is at another engine that ends.
  harness.Crash({kCommon, WorkKey("request:2")});
  CHECK(harness.IsHeldBack(request));
  CHECK_FALSE(harness.IsHeldBack(kCommon));
}

TEST_CASE("a part is blamed if several requests with it crash engines") {
  QuarantineHarness harness;
  for (int i = 0; i < 3; ++i) {
    harness.Crash({kCommon, kBad, WorkKey("request:1")});
  }
  harness.quarantine.AddSuccess({kCommon}, Duration::zero());
  CHECK_FALSE(harness.IsHeldBack(kBad));
  for (int i = 2; i < 4; ++i) {
    harness.Crash({kCommon, kBad, WorkKey("request:" + std::to_string(i))});
  }
  CHECK(harness.IsHeldBack(kBad));
  CHECK_FALSE(harness.IsHeldBack(kCommon));
}

// Guards against holding back a sound request that was sent again together with
// a crashing one.
TEST_CASE("requests that the same crashes interrupted are told apart") {
  for (const char* const sound : {"request:1", "request:3"}) {
    CAPTURE(sound);
    QuarantineHarness harness;
    const WorkKey crashing("request:2");
    for (int i = 0; i < 4; ++i) {
      harness.Crash({WorkKey(sound), crashing});
      CHECK(harness.quarantine.ListQuarantined().empty());
    }
    harness.Crash({WorkKey(sound), crashing});
    CHECK(harness.quarantine.ListQuarantined().size() == 1);
    // If the sound one is held back, the other one crashes an engine alone.
    if (!harness.IsHeldBack(crashing)) {
      harness.Crash({crashing});
    }
    CHECK(harness.IsHeldBack(crashing));
    CHECK_FALSE(harness.IsHeldBack(WorkKey(sound)));
  }
}

TEST_CASE("a request that was answered lately is not held back") {
  QuarantineHarness harness;
  const WorkKey request("request:1");
  harness.quarantine.AddSuccess({request}, Duration::zero());
  harness.clock.Advance(milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    harness.Crash({request});
  }
  CHECK_FALSE(harness.IsHeldBack(request));
}

// Guards against crashes that only an entry without links to engines saw.
TEST_CASE("an engine that answers later did not crash") {
  QuarantineHarness harness;
  for (int i = 0; i < 3; ++i) {
    harness.Crash({kBad});
  }
  const EngineCrash last = harness.last_crash;
  harness.clock.Advance(milliseconds(200));
  // Answers from before the crash, or of another process, say nothing.
  CHECK_FALSE(harness.quarantine.AddSurvival(last.engine, last.incarnation,
                                             milliseconds(300)));
  CHECK_FALSE(harness.quarantine.AddSurvival(last.engine, Incarnation(1),
                                             Duration::zero()));
  CHECK(harness.IsHeldBack(kBad));
  CHECK(harness.quarantine.AddSurvival(last.engine, last.incarnation,
                                       milliseconds(100)));
  CHECK_FALSE(harness.IsHeldBack(kBad));
  // A late report of the same crash.
  EngineCrash late = last;
  late.age = milliseconds(200);
  harness.quarantine.AddCrash(late);
  CHECK_FALSE(harness.IsHeldBack(kBad));
  CHECK(harness.quarantine.FindSurvival(late));
  // A crash after the answer counts.
  late.age = Duration::zero();
  harness.quarantine.AddCrash(late);
  CHECK(harness.IsHeldBack(kBad));
}

TEST_CASE("a record holds a part back until it is deleted or answered") {
  QuarantineHarness harness;
  harness.quarantine.AddRecord(kBad);
  harness.quarantine.AddRecord(kCommon);
  CHECK(harness.IsHeldBack(kBad));
  // A crash that the record explains is not blamed on another part.
  for (int i = 0; i < 3; ++i) {
    harness.Crash({WorkKey("other"), kBad});
  }
  CHECK_FALSE(harness.IsHeldBack(WorkKey("other")));
  harness.quarantine.RemoveRecord(kBad);
  CHECK_FALSE(harness.IsHeldBack(kBad));
  harness.quarantine.AddSuccess({kCommon}, Duration::zero());
  CHECK_FALSE(harness.IsHeldBack(kCommon));
  harness.quarantine.AddRecord(kBad);
  harness.clock.Advance(WorkQuarantine::kQuarantineTime);
  CHECK_FALSE(harness.IsHeldBack(kBad));
  CHECK(harness.quarantine.ListQuarantined().empty());
}

TEST_CASE("evidence stays bounded") {
  QuarantineHarness harness;
  for (std::size_t i = 0; i < 2 * WorkQuarantine::kMaxAnsweredParts; ++i) {
    harness.quarantine.AddSuccess({WorkKey(std::to_string(i))},
                                  Duration::zero());
  }
  std::vector<WorkKey> parts;
  for (std::size_t i = 0; i < 2 * WorkQuarantine::kMaxSuspects; ++i) {
    parts.emplace_back("part-" + std::to_string(i));
  }
  for (std::size_t i = 0; i < WorkQuarantine::kMaxCrashes + 2; ++i) {
    harness.Crash(i == 0 ? parts : std::vector<WorkKey>{kCommon});
  }
  const auto crashes = harness.quarantine.ListCrashes(minutes(10));
  CHECK(crashes.size() == WorkQuarantine::kMaxCrashes);
  for (const EngineCrash& it : crashes) {
    CHECK(it.suspects.size() <= WorkQuarantine::kMaxSuspects);
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
