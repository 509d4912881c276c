// Prompts that share a part which crashes each engine that begins to answer
// them.

#include <doctest/doctest.h>

#include "tests/forwarding/crashing_prompts_harness.h"

namespace kingcupdrift::fakes {
namespace {

/// As the operators state: time after the fifth crash from which at most
/// `kMaxLateSends` more prompts may reach engines.
constexpr Duration kReactionTime = std::chrono::seconds(3);
constexpr int kMaxLateSends = 3;
constexpr int kCountedCrashes = 5;

struct Outcome {
  int sends_after_reaction = 0;
  int sound = 0;
  int sound_answered = 0;
};

/// Every 0.1 s one entry gets a prompt with a crashing part, and all get a
/// sound one that shares its first part.
Outcome PlayCrashingPrompts(CrashingPromptsHarness& harness, int steps) {
  Outcome outcome;
  std::vector<std::shared_ptr<CallerRecord>> sound;
  std::optional<int> reaction_end;
  std::optional<int> sends_before;
  for (int i = 0; i < steps; ++i) {
    if (i % 2 == 0) {
      const std::size_t node = static_cast<std::size_t>(i / 2) % harness.size();
      if (harness.nodes[node]->is_running) {
        harness.Ask(node, {"common", "bad"});
      }
    }
    if (i % 4 == 0) {
      for (std::size_t node = 0; node < harness.size(); ++node) {
        if (harness.nodes[node]->is_running) {
          sound.push_back(harness.Ask(node, {"common"}));
        }
      }
    }
    harness.Step();
    if (!reaction_end && harness.crashes() >= kCountedCrashes) {
      reaction_end =
          i + static_cast<int>(kReactionTime / CrashingPromptsHarness::kStep);
    }
    if (!sends_before && reaction_end && i >= *reaction_end) {
      sends_before = harness.CountCrashingSends();
    }
  }
  harness.Steps(30);
  if (sends_before) {
    outcome.sends_after_reaction = harness.CountCrashingSends() - *sends_before;
  }
  outcome.sound = static_cast<int>(sound.size());
  for (const auto& it : sound) {
    outcome.sound_answered += it->has_ended ? 1 : 0;
  }
  return outcome;
}

TEST_CASE("prompts are answered while no part crashes engines") {
  CrashingPromptsHarness harness(6);
  const Outcome outcome = PlayCrashingPrompts(harness, 40);
  CHECK(harness.crashes() == 0);
  CHECK(outcome.sound_answered == outcome.sound);
}

// Guards against crash loops: each entry saw too few of the crashes to hold the
// prompts back, and retried them at further engines.
TEST_CASE("prompts with a part that crashes engines stop reaching them") {
  for (const int entries : {1, 6, 20}) {
    CAPTURE(entries);
    CrashingPromptsHarness harness(entries);
    harness.crashing_parts = {PromptPartId("bad")};
    const Outcome outcome = PlayCrashingPrompts(harness, 160);
    CHECK(outcome.sends_after_reaction <= kMaxLateSends);
    CHECK(outcome.sound_answered * 10 >= outcome.sound * 9);
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
