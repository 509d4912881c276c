#include "kingcupdrift/forwarding/prompt_part_quarantine.h"

#include <doctest/doctest.h>

#include <string>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const PromptPartId kCommon("common");
const PromptPartId kBad("bad");

struct QuarantineHarness {
  /// A further engine ends with prompts of these parts.
  std::vector<PromptPartSuccess> Crash(const std::vector<PromptPartId>& parts,
                                       Duration age = Duration::zero()) {
    EngineCrash crash{
        EngineId("engine-" + std::to_string(next_engine++)), {}, age, {}};
    for (std::size_t i = 0; i < parts.size(); ++i) {
      crash.suspects.push_back({parts[i], i});
    }
    last_crash = crash;
    return quarantine.AddCrash(crash);
  }
  bool IsHeldBack(const PromptPartId& part) const {
    return quarantine.GetTimeLeft({part}) > Duration::zero();
  }

  ManualClock clock;
  PromptPartQuarantine quarantine{clock};
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
        std::map<PromptPartId, int>{{kBad, 3}});
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
    harness.Crash({kCommon, PromptPartId("companion-" + std::to_string(i))});
  }
  CHECK(harness.IsHeldBack(kCommon));
  // A companion that was blamed first is released once the crashes go on
  // without it.
  QuarantineHarness later;
  for (int i = 0; i < 3; ++i) {
    later.Crash({kCommon, PromptPartId("companion")});
  }
  CHECK(later.IsHeldBack(PromptPartId("companion")));
  later.Crash({kCommon});
  CHECK(later.IsHeldBack(kCommon));
  CHECK_FALSE(later.IsHeldBack(PromptPartId("companion")));
}

TEST_CASE("two crashing parts are both held back") {
  QuarantineHarness harness;
  const PromptPartId other("other");
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
  CHECK(cleared[0].part == kBad);
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
  harness.clock.Advance(PromptPartQuarantine::kQuarantineTime - seconds(1));
  CHECK(harness.quarantine.GetTimeLeft({kCommon, kBad}) == seconds(1));
  harness.clock.Advance(seconds(1));
  CHECK_FALSE(harness.IsHeldBack(kBad));
  harness.Crash({kBad});
  CHECK_FALSE(harness.IsHeldBack(kBad));
}

TEST_CASE("a record holds a part back until it is deleted or answered") {
  QuarantineHarness harness;
  harness.quarantine.AddRecord(kBad);
  harness.quarantine.AddRecord(kCommon);
  CHECK(harness.IsHeldBack(kBad));
  // A crash that the record explains is not blamed on another part.
  for (int i = 0; i < 3; ++i) {
    harness.Crash({PromptPartId("other"), kBad});
  }
  CHECK_FALSE(harness.IsHeldBack(PromptPartId("other")));
  harness.quarantine.RemoveRecord(kBad);
  CHECK_FALSE(harness.IsHeldBack(kBad));
  harness.quarantine.AddSuccess({kCommon}, Duration::zero());
  CHECK_FALSE(harness.IsHeldBack(kCommon));
  harness.quarantine.AddRecord(kBad);
  harness.clock.Advance(PromptPartQuarantine::kQuarantineTime);
  CHECK_FALSE(harness.IsHeldBack(kBad));
  CHECK(harness.quarantine.ListQuarantined().empty());
}

TEST_CASE("evidence stays bounded") {
  QuarantineHarness harness;
  for (std::size_t i = 0; i < 2 * PromptPartQuarantine::kMaxAnsweredParts;
       ++i) {
    harness.quarantine.AddSuccess({PromptPartId(std::to_string(i))},
                                  Duration::zero());
  }
  std::vector<PromptPartId> parts;
  for (std::size_t i = 0; i < 2 * PromptPartQuarantine::kMaxSuspects; ++i) {
    parts.emplace_back("part-" + std::to_string(i));
  }
  for (std::size_t i = 0; i < PromptPartQuarantine::kMaxCrashes + 2; ++i) {
    harness.Crash(i == 0 ? parts : std::vector<PromptPartId>{kCommon});
  }
  const auto crashes = harness.quarantine.ListCrashes(minutes(10));
  CHECK(crashes.size() == PromptPartQuarantine::kMaxCrashes);
  for (const EngineCrash& it : crashes) {
    CHECK(it.suspects.size() <= PromptPartQuarantine::kMaxSuspects);
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
