// Engines that name a limit of the requests a second that they take from all
// entries together.

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

#include "tests/forwarding/model_engines_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// As the operators state: from `kReactionTime` after an engine first named its
/// limit, it gets in `kWindow` at most `kFactor` of what that allows, and
/// `kExtra` requests more.
constexpr Duration kReactionTime = seconds(3);
constexpr Duration kWindow = seconds(4);
constexpr double kFactor = 1.5;
constexpr double kExtra = 5;

/// So few that `kFillingLoad` fills those without a limit.
constexpr int kFewEngines = 3;
/// Requests in each step.
constexpr int kFillingLoad = 2;

constexpr int StepsIn(Duration time) {
  return static_cast<int>(time / ModelEnginesHarness::kStep);
}

int AllowedInWindow(double limit) {
  return static_cast<int>(kFactor * limit * 4 + kExtra);
}

struct LimitHarness : ModelEnginesHarness {
  explicit LimitHarness(int entries,
                        Duration peer_delay = milliseconds(1),
                        int engines = kEngines)
      : ModelEnginesHarness(entries, peer_delay, engines) {}

  /// The first `count` engines name this limit from now on.
  void NameLimits(int count, double limit) {
    const auto engines = ListEngines();
    for (int i = 0; i < count; ++i) {
      limits[engines.at(static_cast<std::size_t>(i))] = limit;
    }
    named_at = step();
  }
  /// All running entries get `per_step` prompts together in each step.
  void Load(int steps, int per_step = 4) {
    for (int i = 0; i < steps; ++i) {
      for (int j = 0; j < per_step; ++j) {
        do {
          next_node = (next_node + 1) % size();
        } while (!nodes[next_node]->is_running);
        callers.push_back(Ask(next_node, {"part"}));
      }
      Step();
    }
  }
  /// Most requests in any window after the reaction time.
  int FindMostInWindow(const EngineId& engine) const {
    const auto it = arrivals().find(engine);
    int most = 0;
    if (it == arrivals().end()) {
      return most;
    }
    const int from = named_at + StepsIn(kReactionTime);
    for (auto begin = it->second.begin(); begin != it->second.end(); ++begin) {
      const auto end = std::find_if(begin, it->second.end(), [&](int step) {
        return step >= *begin + StepsIn(kWindow);
      });
      if (*begin >= from) {
        most = std::max(most, static_cast<int>(end - begin));
      }
    }
    return most;
  }
  int CountSince(const EngineId& engine, int from) const {
    const auto it = arrivals().find(engine);
    return it == arrivals().end()
               ? 0
               : static_cast<int>(
                     std::count_if(it->second.begin(), it->second.end(),
                                   [from](int step) { return step >= from; }));
  }
  double CountAnsweredShare() const {
    const auto answered =
        std::count_if(callers.begin(), callers.end(),
                      [](const auto& it) { return it->has_ended; });
    return static_cast<double>(answered) / static_cast<double>(callers.size());
  }

  std::vector<std::shared_ptr<CallerRecord>> callers;
  std::size_t next_node = 0;
  int named_at = 0;
};

// Guards against engines in need that get as many requests as all others,
// because entries do not heed the limit or each apply it alone.
TEST_CASE("an engine gets no more requests than the limit that it named") {
  for (const int entries : {1, 6, 16, 24}) {
    for (const double limit : {0.0, 0.5, 1.4, 5.0}) {
      CAPTURE(entries);
      CAPTURE(limit);
      LimitHarness harness(entries);
      harness.Load(20);
      harness.NameLimits(3, limit);
      harness.Load(StepsIn(seconds(14)));
      for (const auto& [engine, named] : harness.limits) {
        CHECK(harness.FindMostInWindow(engine) <= AllowedInWindow(limit));
      }
      harness.Steps(40);
      CHECK(harness.CountAnsweredShare() == 1);
    }
  }
}

TEST_CASE("an engine with a limit still gets most of what it takes") {
  for (const int entries : {1, 6, 24}) {
    for (const double limit : {1.4, 5.0}) {
      CAPTURE(entries);
      CAPTURE(limit);
      LimitHarness harness(entries, milliseconds(1), kFewEngines);
      harness.NameLimits(1, limit);
      harness.Load(StepsIn(seconds(2)), kFillingLoad);
      const int from = harness.step();
      harness.Load(StepsIn(seconds(8)), kFillingLoad);
      const EngineId engine = harness.limits.begin()->first;
      CHECK(harness.CountSince(engine, from) >= limit * 8 / 2);
    }
  }
}

TEST_CASE("an engine that names no limit any more is used as before") {
  LimitHarness harness(6, milliseconds(1), kFewEngines);
  harness.NameLimits(1, 0.5);
  harness.Load(StepsIn(seconds(3)), kFillingLoad);
  const EngineId engine = harness.limits.begin()->first;
  harness.limits.clear();
  // The next request to the engine shows that the limit has ended.
  harness.Load(StepsIn(seconds(6)), kFillingLoad);
  const int from = harness.step();
  harness.Load(StepsIn(seconds(2)), kFillingLoad);
  CHECK(harness.CountSince(engine, from) >= 10);
}

TEST_CASE("a limit is kept while entries hear each other late") {
  for (const int delay_ms : {100, 400, 700}) {
    CAPTURE(delay_ms);
    LimitHarness harness(6, milliseconds(delay_ms));
    harness.NameLimits(3, 1.4);
    harness.Load(StepsIn(seconds(14)));
    for (const auto& [engine, named] : harness.limits) {
      CHECK(harness.FindMostInWindow(engine) <= AllowedInWindow(named));
    }
    harness.Steps(40);
    LimitHarness without_limits(6, milliseconds(delay_ms));
    without_limits.Load(StepsIn(seconds(14)));
    without_limits.Steps(40);
    CHECK(harness.CountAnsweredShare() >= without_limits.CountAnsweredShare());
  }
}

TEST_CASE("a limit is kept while entries die and start again") {
  LimitHarness harness(6);
  harness.NameLimits(3, 1.4);
  harness.Load(StepsIn(seconds(4)));
  for (std::size_t i = 0; i < 6; ++i) {
    harness.nodes[i]->Kill();
    harness.Load(StepsIn(milliseconds(i % 2 == 0 ? 500 : 2500)));
    harness.nodes.push_back(std::make_unique<GatewayNode>(
        static_cast<int>(i) + 1, "restarted-", harness.clock, harness.random,
        harness.model, harness.network, harness.decoder));
    harness.nodes.back()->gateway->Start();
    harness.Steps(2);
    harness.Load(StepsIn(milliseconds(1500)));
  }
  harness.Load(StepsIn(seconds(5)));
  for (const auto& [engine, named] : harness.limits) {
    CHECK(harness.FindMostInWindow(engine) <= AllowedInWindow(named));
    CHECK(harness.FindMostInWindow(engine) >= 1);
  }
}

TEST_CASE("requests beyond the limits of all engines are refused as not run") {
  LimitHarness harness(6);
  harness.NameLimits(ModelEnginesHarness::kEngines, 0.5);
  harness.Load(StepsIn(seconds(4)));
  const auto before = harness.callers.size();
  harness.Load(StepsIn(seconds(8)), 2);
  harness.Steps(StepsIn(seconds(11)));
  int answered = 0;
  for (std::size_t i = before; i < harness.callers.size(); ++i) {
    const CallerRecord& caller = *harness.callers[i];
    REQUIRE(caller.IsOver());
    answered += caller.has_ended ? 1 : 0;
    if (caller.refusal) {
      CHECK(GuaranteesNotRun(caller.refusal->type));
      CHECK(caller.refusal->retry_after > Duration::zero());
    }
  }
  // 24 engines that take 0.5 requests a second, in 8 s.
  CHECK(answered >= 48);
}

}  // namespace
}  // namespace kingcupdrift::fakes
