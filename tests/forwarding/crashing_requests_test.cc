// One request that crashes each target which begins to run it, and that comes
// again and again at any entry (serving process).

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "tests/forwarding/model_engines_harness.h"

namespace kingcupdrift::fakes {
namespace {

/// As the operators state: time after the third crash from which at most
/// `kMaxLateSends` repeats may reach targets.
constexpr Duration kReactionTime = std::chrono::seconds(3);
constexpr int kMaxLateSends = 3;
constexpr int kCountedCrashes = 3;
constexpr int kPlainTargets = 3;

struct Outcome {
  int late_sends = 0;
  int sound = 0;
  int sound_answered = 0;
};

/// Every 0.2 s one entry gets the crashing request, and every 0.1 s one gets
/// sound ones that share its path or its body. Those of the time after the
/// reaction are in the outcome.
Outcome PlayRepeatedRequest(ModelEnginesHarness& harness,
                            const std::string& path,
                            int steps) {
  Outcome outcome;
  std::vector<std::shared_ptr<CallerRecord>> sound;
  std::optional<int> reaction_end;
  std::optional<int> sends_before;
  std::size_t node = 0;
  const auto next_node = [&] {
    do {
      node = (node + 1) % harness.size();
    } while (!harness.nodes[node]->is_running);
    return node;
  };
  for (int i = 0; i < steps; ++i) {
    if (i % 4 == 0) {
      harness.Ask(next_node(), path + "x", "bad");
    }
    if (i % 2 == 0) {
      const auto same_path = harness.Ask(next_node(), path + "x", "sound");
      const auto other =
          harness.Ask(next_node(), path + "x", "sound " + std::to_string(i));
      if (sends_before) {
        sound.push_back(same_path);
        sound.push_back(other);
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
  REQUIRE(sends_before);
  outcome.late_sends = harness.CountCrashingSends() - *sends_before;
  outcome.sound = static_cast<int>(sound.size());
  for (const auto& it : sound) {
    outcome.sound_answered += it->has_ended || it->reply ? 1 : 0;
  }
  return outcome;
}

// Guards against crash loops of one repeated request: without a shared part of
// a prompt nothing told that it was the same one, and it was sent again.
TEST_CASE("a repeated request that crashes targets stops reaching them") {
  for (const std::string path : {"/safe/", "/once/", "/prompt/"}) {
    for (const int entries : {1, 6, 24}) {
      CAPTURE(path);
      CAPTURE(entries);
      ModelEnginesHarness harness(entries);
      harness.AddPlainTargets(kPlainTargets);
      harness.crashing_bodies = {"bad"};
      const Outcome outcome = PlayRepeatedRequest(harness, path, 240);
      CHECK(outcome.late_sends <= kMaxLateSends);
      CHECK(outcome.sound > 0);
      CHECK(outcome.sound_answered == outcome.sound);
    }
  }
}

// Guards against an evidence that reaches too few entries of a large fleet.
TEST_CASE("a large fleet holds back a repeated request that crashes targets") {
  ModelEnginesHarness harness(195);
  harness.AddPlainTargets(kPlainTargets);
  harness.crashing_bodies = {"bad"};
  const Outcome outcome = PlayRepeatedRequest(harness, "/safe/", 160);
  CHECK(outcome.late_sends <= kMaxLateSends);
  CHECK(outcome.sound_answered == outcome.sound);
}

// Guards against messages between entries that arrive late.
TEST_CASE("entries that hear each other late hold a crashing request back") {
  for (const std::string path : {"/safe/", "/once/", "/prompt/"}) {
    for (const int delay_ms : {100, 400, 700}) {
      CAPTURE(path);
      CAPTURE(delay_ms);
      ModelEnginesHarness harness(6, std::chrono::milliseconds(delay_ms));
      harness.AddPlainTargets(kPlainTargets);
      harness.crashing_bodies = {"bad"};
      const Outcome outcome = PlayRepeatedRequest(harness, path, 240);
      CHECK(outcome.late_sends <= kMaxLateSends);
      CHECK(outcome.sound_answered == outcome.sound);
    }
  }
}

// Guards against crashes that no check sees, since the target is back at once.
TEST_CASE("crashes count if the target is back before it is checked") {
  for (const bool keeps_id : {false, true}) {
    CAPTURE(keeps_id);
    ModelEnginesHarness harness(6);
    harness.AddPlainTargets(kPlainTargets);
    harness.restart_steps = 0;
    harness.keeps_id = keeps_id;
    harness.crashing_bodies = {"bad"};
    const Outcome outcome = PlayRepeatedRequest(harness, "/safe/", 240);
    CHECK(outcome.late_sends <= kMaxLateSends);
    CHECK(outcome.sound_answered == outcome.sound);
  }
}

// Guards against a quarantine that ends with the processes that know of it.
TEST_CASE("a held back request stays so while entries end and start") {
  for (const bool all_at_once : {false, true}) {
    CAPTURE(all_at_once);
    ModelEnginesHarness harness(6);
    harness.AddPlainTargets(kPlainTargets);
    harness.crashing_bodies = {"bad"};
    PlayRepeatedRequest(harness, "/once/", 160);
    const int sends = harness.CountCrashingSends();
    for (int i = 0; i < 6; ++i) {
      harness.nodes[static_cast<std::size_t>(i)]->Kill();
      if (!all_at_once) {
        harness.AddNode(i + 1, "restarted-");
        harness.Steps(60);
      }
    }
    if (all_at_once) {
      harness.Steps(10);
      harness.AddNodes(6, "restarted-");
      harness.Steps(60);
    }
    for (std::size_t node = 6; node < harness.size(); ++node) {
      CHECK(harness.Ask(node, "/once/x", "bad")->refusal);
      const auto sound = harness.Ask(node, "/once/x", "sound");
      harness.Steps(10);
      CHECK(sound->reply);
    }
    CHECK(harness.CountCrashingSends() == sends);
  }
}

// Guards against a quarantine of sound work that was at targets which failed
// for another reason, or were only silent.
TEST_CASE("no request is held back when many targets fail or fall silent") {
  for (const bool is_silent : {false, true}) {
    for (const std::string path : {"/safe/", "/once/", "/prompt/"}) {
      CAPTURE(is_silent);
      CAPTURE(path);
      ModelEnginesHarness harness(6);
      harness.AddPlainTargets(6);
      std::vector<std::shared_ptr<CallerRecord>> sound;
      const auto ask_all = [&] {
        for (std::size_t node = 0; node < harness.size(); ++node) {
          sound.push_back(harness.Ask(node, path + "x", "sound"));
        }
      };
      for (int i = 0; i < 30; ++i) {
        ask_all();
        harness.Step();
      }
      for (const EngineId& it : harness.ListEngines()) {
        if (is_silent) {
          harness.silent.insert(it);
          for (const auto& node : harness.nodes) {
            node->targets.unresponsive.insert(it);
          }
        } else {
          harness.Crash(it);
        }
      }
      for (int i = 0; i < 24; ++i) {
        ask_all();
        harness.Step();
      }
      for (const auto& node : harness.nodes) {
        node->targets.unresponsive.clear();
      }
      harness.silent.clear();
      for (int i = 0; i < 60; ++i) {
        ask_all();
        harness.Step();
      }
      harness.Steps(30);
      for (const auto& it : sound) {
        REQUIRE_FALSE((it->refusal &&
                       it->refusal->type == ForwardRefusalType::kQuarantined));
      }
      CHECK(sound.back()->IsOver());
      CHECK_FALSE(sound.back()->refusal);
    }
  }
}

// Guards against entries that take the end of their own links for crashes, and
// make the others hold back what they asked for.
TEST_CASE("no request is held back since an entry is cut off from engines") {
  using Cut = ModelEnginesHarness::Cut;
  for (const std::string path : {"/safe/", "/once/", "/prompt/"}) {
    for (const Cut cut : {Cut::kHang, Cut::kReset}) {
      for (const std::size_t cut_count : {1, 3}) {
        CAPTURE(path);
        CAPTURE(static_cast<int>(cut));
        CAPTURE(cut_count);
        ModelEnginesHarness harness(6);
        harness.AddPlainTargets(6);
        // The request is new, and in progress at several engines.
        for (int i = 0; i < 6; ++i) {
          for (std::size_t node = 0; node < cut_count; ++node) {
            harness.Ask(node, path + "x", "new");
          }
        }
        for (std::size_t node = 0; node < cut_count; ++node) {
          harness.SetCut(node, cut);
        }
        std::vector<std::shared_ptr<CallerRecord>> sound;
        for (int i = 0; i < 100; ++i) {
          for (std::size_t node = cut_count; node < harness.size(); ++node) {
            if (i > 20) {
              sound.push_back(harness.Ask(node, path + "x", "new"));
            }
          }
          harness.Step();
        }
        harness.Steps(30);
        for (const auto& it : sound) {
          REQUIRE_FALSE(it->refusal);
        }
        CHECK(harness.model.List("kingcupdrift/quarantine/").empty());
      }
    }
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
