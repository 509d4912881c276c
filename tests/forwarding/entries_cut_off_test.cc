// Entries (serving processes) that are cut off from all engines, while callers,
// the store and the other entries still reach them.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/forwarding/model_engines_harness.h"

namespace kingcupdrift::fakes {
namespace {

using Cut = ModelEnginesHarness::Cut;

/// As the operators state: time from the cut on after which callers of entries
/// that are cut off must be served two thirds as often as those of the others.
constexpr int kReactionSteps = 60;
constexpr int kCutSteps = 140;
constexpr int kPlainTargets = 3;

struct Served {
  int asked = 0;
  int served = 0;
};

bool IsServed(const CallerRecord& record) {
  return record.has_ended || (record.reply && record.reply->status == 200);
}

struct Outcome {
  Served cut;
  Served others;
  Served afterwards;
};

/// Cuts off the first `cut_count` entries. Each entry gets a request in turn.
Outcome PlayCut(ModelEnginesHarness& harness,
                std::size_t cut_count,
                Cut cut,
                const std::string& path) {
  using Records = std::vector<std::shared_ptr<CallerRecord>>;
  int number = 0;
  const auto ask = [&](std::size_t node) {
    return harness.Ask(node, path + "x", "body-" + std::to_string(number++));
  };
  const auto ask_some = [&](int step, Records& at_cut, Records& at_others) {
    for (std::size_t node = 0; node < harness.size(); ++node) {
      if ((static_cast<std::size_t>(step) + node) % 4 == 0) {
        (node < cut_count ? at_cut : at_others).push_back(ask(node));
      }
    }
  };
  const auto count = [](const Records& records, Served& served) {
    for (const auto& it : records) {
      ++served.asked;
      served.served += IsServed(*it) ? 1 : 0;
    }
  };
  Records ignored;
  for (int i = 0; i < 20; ++i) {
    ask_some(i, ignored, ignored);
    harness.Step();
  }
  for (std::size_t node = 0; node < cut_count; ++node) {
    harness.SetCut(node, cut);
  }
  Records at_cut;
  Records at_others;
  for (int i = 0; i < kCutSteps; ++i) {
    ask_some(i, i < kReactionSteps ? ignored : at_cut,
             i < kReactionSteps ? ignored : at_others);
    harness.Step();
  }
  harness.Steps(30);
  Outcome outcome;
  count(at_cut, outcome.cut);
  count(at_others, outcome.others);
  for (std::size_t node = 0; node < cut_count; ++node) {
    harness.SetCut(node, Cut::kNone);
  }
  harness.Steps(20);
  Records afterwards;
  for (int i = 0; i < 20; ++i) {
    ask_some(i, afterwards, afterwards);
    harness.Step();
  }
  harness.Steps(40);
  count(afterwards, outcome.afterwards);
  return outcome;
}

void CheckOutcome(const Outcome& outcome) {
  REQUIRE(outcome.cut.asked > 0);
  REQUIRE(outcome.others.asked > 0);
  // served / asked at the cut entries is at least 2/3 of that at the others.
  CHECK(3 * outcome.cut.served * outcome.others.asked >=
        2 * outcome.others.served * outcome.cut.asked);
  CHECK(outcome.others.served == outcome.others.asked);
  CHECK(outcome.afterwards.served == outcome.afterwards.asked);
}

// Guards against entries that keep callers and refuse them, although other
// entries reach the engines.
TEST_CASE("callers of entries that are cut off from all engines are served") {
  for (const std::string path : {"/safe/", "/once/", "/prompt/"}) {
    for (const Cut cut : {Cut::kHang, Cut::kReset, Cut::kRefuse}) {
      for (const std::size_t cut_count : {1, 3, 5}) {
        CAPTURE(path);
        CAPTURE(static_cast<int>(cut));
        CAPTURE(cut_count);
        ModelEnginesHarness harness(6);
        harness.AddPlainTargets(kPlainTargets);
        CheckOutcome(PlayCut(harness, cut_count, cut, path));
      }
    }
  }
}

// Guards against a belief that reaches too few entries of a large fleet.
TEST_CASE("callers of cut off entries of large fleets are served") {
  for (const int entries : {24, 195}) {
    for (const Cut cut : {Cut::kHang, Cut::kRefuse}) {
      CAPTURE(entries);
      CAPTURE(static_cast<int>(cut));
      ModelEnginesHarness harness(entries);
      harness.AddPlainTargets(kPlainTargets);
      CheckOutcome(PlayCut(harness, static_cast<std::size_t>(entries) / 3, cut,
                           "/once/"));
    }
  }
}

TEST_CASE("callers are served if entries hear each other late") {
  for (const std::string path : {"/safe/", "/prompt/"}) {
    CAPTURE(path);
    ModelEnginesHarness harness(6, std::chrono::milliseconds(700));
    harness.AddPlainTargets(kPlainTargets);
    CheckOutcome(PlayCut(harness, 3, Cut::kReset, path));
  }
}

TEST_CASE("an entry that starts while it is cut off passes requests on") {
  ModelEnginesHarness harness(6);
  harness.AddPlainTargets(kPlainTargets);
  harness.nodes[0]->Kill();
  harness.AddNode(1, "restarted-");
  harness.SetCut(6, Cut::kHang);
  harness.Steps(60);
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    const auto record = harness.Ask(6, "/once/x", std::to_string(i));
    harness.Steps(4);
    served += IsServed(*record) ? 1 : 0;
  }
  CHECK(served >= 18);
}

// Guards against requests that cut off entries pass to and fro.
TEST_CASE("entries that are all cut off keep their callers and refuse them") {
  for (const int entries : {1, 6}) {
    CAPTURE(entries);
    ModelEnginesHarness harness(entries);
    harness.AddPlainTargets(kPlainTargets);
    for (std::size_t node = 0; node < harness.size(); ++node) {
      harness.SetCut(node, Cut::kRefuse);
    }
    std::vector<std::shared_ptr<CallerRecord>> records;
    for (int i = 0; i < 60; ++i) {
      for (std::size_t node = 0; node < harness.size(); ++node) {
        records.push_back(harness.Ask(node, "/once/x", std::to_string(i)));
      }
      harness.Step();
    }
    harness.Steps(20);
    for (const auto& it : records) {
      REQUIRE(it->IsOver());
    }
    for (const auto& node : harness.nodes) {
      CHECK(node->gateway->ListCallerEndpoints().size() ==
            static_cast<std::size_t>(entries));
      CHECK(node->Metric("kingcupdrift_engines_in_reach") == "0");
      const std::size_t sends = node->targets.sends.size();
      node->Ask("kept");
      // At the engines alone.
      for (std::size_t i = sends; i < node->targets.sends.size(); ++i) {
        CHECK_FALSE(node->targets.sends[i]->relayed_call);
      }
    }
    for (std::size_t node = 0; node < harness.size(); ++node) {
      harness.SetCut(node, Cut::kNone);
    }
    harness.Steps(20);
    const auto afterwards = harness.Ask(0, "/once/x", "afterwards");
    harness.Steps(10);
    CHECK(IsServed(*afterwards));
    CHECK(harness.nodes[0]->Metric("kingcupdrift_engines_in_reach") == "1");
  }
}

TEST_CASE("address answers leave out entries that are cut off, for that time") {
  ModelEnginesHarness harness(6);
  harness.AddPlainTargets(kPlainTargets);
  PlayCut(harness, 2, Cut::kRefuse, "/safe/");
  harness.SetCut(0, Cut::kHang);
  for (int i = 0; i < 20; ++i) {
    harness.Ask(0, "/safe/x", std::to_string(i));
    harness.Step();
  }
  harness.Steps(10);
  for (const auto& node : harness.nodes) {
    const auto endpoints = node->gateway->ListCallerEndpoints();
    CHECK(endpoints.size() == 5);
    CHECK(std::count_if(endpoints.begin(), endpoints.end(),
                        [&harness](const Endpoint& it) {
                          return it.host == harness.nodes[0]->endpoint.host;
                        }) == 0);
  }
  harness.SetCut(0, Cut::kNone);
  harness.Steps(20);
  for (const auto& node : harness.nodes) {
    CHECK(node->gateway->ListCallerEndpoints().size() == 6);
  }
}

// Guards against a second run, and against "not run" for a request whose answer
// was lost between entries.
TEST_CASE("a non-idempotent request whose relay ends may have run, but once") {
  ModelEnginesHarness harness(6);
  harness.AddPlainTargets(kPlainTargets);
  harness.SetCut(0, Cut::kRefuse);
  for (int i = 0; i < 20; ++i) {
    harness.Ask(0, "/safe/x", std::to_string(i));
    harness.Step();
  }
  for (const EngineId& it : harness.ListEngines()) {
    harness.silent.insert(it);
  }
  const auto record = harness.Ask(0, "/once/x", "order");
  const auto relay = harness.nodes[0]->targets.sends.back();
  REQUIRE(relay->relayed_call);
  // The other entry has sent it to a target when it ends.
  harness.Step();
  for (const auto& node : harness.nodes) {
    if (node->endpoint.host == relay->target.endpoint.host) {
      node->Kill();
    }
  }
  harness.Steps(40);
  REQUIRE(record->refusal);
  CHECK_FALSE(GuaranteesNotRun(record->refusal->type));
  int runs = 0;
  for (const auto& node : harness.nodes) {
    for (const auto& it : node->targets.sends) {
      runs += it->body == "order" && !it->relayed_call ? 1 : 0;
    }
  }
  CHECK(runs == 1);
}

// Guards against taking silence for a cut.
TEST_CASE("no entry counts as cut off while engines are silent for a second") {
  ModelEnginesHarness harness(6);
  harness.AddPlainTargets(kPlainTargets);
  std::vector<std::shared_ptr<CallerRecord>> records;
  const auto ask_all = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      for (std::size_t node = 0; node < harness.size(); ++node) {
        records.push_back(harness.Ask(node, "/once/x", std::to_string(i)));
      }
      harness.Step();
    }
  };
  ask_all(10);
  for (const EngineId& it : harness.ListEngines()) {
    harness.silent.insert(it);
  }
  ask_all(20);
  harness.silent.clear();
  ask_all(20);
  harness.Steps(20);
  for (const auto& it : records) {
    REQUIRE(IsServed(*it));
  }
  for (const auto& node : harness.nodes) {
    CHECK(node->Metric("kingcupdrift_requests_relayed_total") == "0");
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
