// Entries (serving processes) that are cut off from all engines, while callers,
// the store and the other entries still reach them.

#include <doctest/doctest.h>

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

}  // namespace
}  // namespace kingcupdrift::fakes
