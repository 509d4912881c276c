// Prompts that share a part which crashes each engine that begins to answer
// them.

#include <doctest/doctest.h>

#include "kingcupdrift/forwarding/work_quarantine.h"
#include "tests/forwarding/model_engines_harness.h"

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
Outcome PlayCrashingPrompts(ModelEnginesHarness& harness, int steps) {
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
          i + static_cast<int>(kReactionTime / ModelEnginesHarness::kStep);
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
  ModelEnginesHarness harness(6);
  const Outcome outcome = PlayCrashingPrompts(harness, 40);
  CHECK(harness.crashes() == 0);
  CHECK(outcome.sound_answered == outcome.sound);
}

// Guards against crash loops: each entry saw too few of the crashes to hold the
// prompts back, and retried them at further engines.
TEST_CASE("prompts with a part that crashes engines stop reaching them") {
  for (const int entries : {1, 6, 20}) {
    CAPTURE(entries);
    ModelEnginesHarness harness(entries);
    harness.crashing_parts = {PromptPartId("bad")};
    const Outcome outcome = PlayCrashingPrompts(harness, 160);
    CHECK(outcome.sends_after_reaction <= kMaxLateSends);
    CHECK(outcome.sound_answered * 10 >= outcome.sound * 9);
  }
}

// Guards against evidence that is lost with the entry that has it, and against
// new entries that know nothing of a quarantine.
TEST_CASE("entries that restart still hold back prompts that crash engines") {
  ModelEnginesHarness harness(6);
  harness.crashing_parts = {PromptPartId("bad")};
  PlayCrashingPrompts(harness, 80);
  const int sends = harness.CountCrashingSends();
  REQUIRE(sends > 0);
  for (std::size_t i = 0; i < 6; ++i) {
    harness.nodes[i]->Kill();
    harness.nodes.push_back(std::make_unique<GatewayNode>(
        static_cast<int>(i) + 1, "restarted-", harness.clock, harness.random,
        harness.model, harness.network, harness.decoder));
    harness.nodes.back()->gateway->Start();
    // As the operators count, an entry is out of touch for this long.
    harness.Steps(static_cast<int>(kReactionTime / ModelEnginesHarness::kStep));
    harness.Ask(harness.nodes.size() - 1, {"common", "bad"});
    const auto sound = harness.Ask(harness.nodes.size() - 1, {"common"});
    harness.Steps(30);
    CHECK(sound->has_ended);
  }
  CHECK(harness.CountCrashingSends() == sends);
}

// Guards against a quarantine that ends with the processes that know of it.
TEST_CASE("a quarantine outlasts the end of all entries") {
  ModelEnginesHarness harness(6);
  harness.crashing_parts = {PromptPartId("bad")};
  PlayCrashingPrompts(harness, 100);
  const int sends = harness.CountCrashingSends();
  REQUIRE(sends > 0);
  for (const auto& node : harness.nodes) {
    node->Kill();
  }
  harness.Steps(10);
  harness.AddNodes(6, "restarted-");
  harness.Steps(static_cast<int>(kReactionTime / ModelEnginesHarness::kStep));
  for (std::size_t node = 6; node < harness.size(); ++node) {
    const auto refused = harness.Ask(node, {"common", "bad"});
    CHECK(refused->refusal);
    const auto sound = harness.Ask(node, {"common"});
    harness.Steps(30);
    CHECK(sound->has_ended);
  }
  CHECK(harness.CountCrashingSends() == sends);
  // One record, however many entries know of the part.
  CHECK(harness.model.List("kingcupdrift/quarantine/").size() == 1);
}

// Guards against messages between entries that arrive late.
TEST_CASE("entries that hear each other late hold crashing prompts back") {
  for (const int delay_ms : {100, 400, 700}) {
    CAPTURE(delay_ms);
    ModelEnginesHarness harness(6, std::chrono::milliseconds(delay_ms));
    harness.crashing_parts = {PromptPartId("bad")};
    const Outcome outcome = PlayCrashingPrompts(harness, 160);
    CHECK(outcome.sends_after_reaction <= kMaxLateSends);
    CHECK(outcome.sound_answered * 10 >= outcome.sound * 8);
  }
}

// Guards against a quarantine of parts that happened to be at many engines that
// failed for another reason.
TEST_CASE("no prompt is held back when many engines fail at once") {
  for (int round = 0; round < 20; ++round) {
    ModelEnginesHarness harness(6);
    std::vector<std::shared_ptr<CallerRecord>> sound;
    const auto ask_all = [&] {
      for (std::size_t node = 0; node < harness.size(); ++node) {
        sound.push_back(harness.Ask(node, {"common"}));
        sound.push_back(
            harness.Ask(node, {"common", "rare-" + std::to_string(node)}));
      }
    };
    for (int i = 0; i < 30; ++i) {
      ask_all();
      harness.Steps(round % 3 + 1);
    }
    for (int i = 0; i < ModelEnginesHarness::kEngines / 2; ++i) {
      harness.Crash(harness.ListEngines().front());
    }
    for (int i = 0; i < 30; ++i) {
      ask_all();
      harness.Steps(1);
    }
    for (const auto& it : sound) {
      REQUIRE_FALSE((it->refusal &&
                     it->refusal->type == ForwardRefusalType::kQuarantined));
    }
  }
}

TEST_CASE(
    "a held back prompt is refused as not run, for the time that is left") {
  ModelEnginesHarness harness(1);
  harness.crashing_parts = {PromptPartId("bad")};
  PlayCrashingPrompts(harness, 40);
  const auto refused = harness.Ask(0, {"common", "bad"});
  REQUIRE(refused->refusal);
  CHECK(refused->refusal->type == ForwardRefusalType::kQuarantined);
  CHECK(GuaranteesNotRun(refused->refusal->type));
  CHECK(refused->refusal->retry_after > std::chrono::minutes(9));
  CHECK(refused->refusal->retry_after <= WorkQuarantine::kQuarantineTime);
  CHECK(harness.nodes[0]->Metric("kingcupdrift_prompt_parts_quarantined") ==
        "1");
}

}  // namespace
}  // namespace kingcupdrift::fakes
