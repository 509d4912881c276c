#include "kingcupdrift/routing/internal/slot_wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

#include "kingcupdrift/routing/prompt_placer.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStreamTime = milliseconds(2100);

TEST_CASE("a slot is waited for only where nearly all slots are taken") {
  CHECK(EstimateSlotWait(0, 12, kStreamTime) < milliseconds(1));
  CHECK(EstimateSlotWait(6, 12, kStreamTime) < milliseconds(1));
  CHECK(EstimateSlotWait(11, 12, kStreamTime) == kStreamTime / 12);
  CHECK(EstimateSlotWait(30, 12, kStreamTime) == kStreamTime / 12);
  CHECK(EstimateSlotWait(0, 1, kStreamTime) == kStreamTime);
}

EngineTiming MakeTiming() {
  EngineTiming timing;
  timing.slots = 12;
  timing.memory = TokenCount(197'200);
  timing.steps_per_iteration = 48;
  timing.base_step_time = std::chrono::microseconds(1020);
  timing.step_us_per_stream = 2.26;
  timing.step_us_per_context_token = 0.00431;
  timing.prefill_us_per_token = 1'000'000 / 206'000.0;
  timing.prefill_us_per_token_pair = 0.000138;
  return timing;
}

// Guards against the load in which short prompts reach 2.5 times their mean:
// the fleet has a fifth of its slots free, yet most prompts went to engines
// believed to have one free slot, which other entries filled at the same time.
TEST_CASE("a burst of short prompts leaves no engine nearly full") {
  constexpr int kEngines = 78;
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines;
  engines.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back({EngineId(std::to_string(i)), EngineLoad()});
  }
  std::array<int, 13> chosen_with{};
  PromptPlacementRequest request{TokenCount(4960),  TokenCount(1500),
                                 milliseconds(300), milliseconds(250),
                                 Duration::zero(),  0,
                                 TokenCount(1500),  true};
  // 690 streams are 8.8 an engine, of 12.
  std::vector<std::size_t> order;
  for (std::uint64_t i = 0; i < 3'000; ++i) {
    request.seed = i;
    const auto placement = placer.Place(request, engines);
    REQUIRE(placement);
    EngineLoad& load = engines[placement->engine].work;
    ++chosen_with.at(static_cast<std::size_t>(load.streams));
    ++load.streams;
    load.context += TokenCount(6'460);
    load.max_event_gap = milliseconds(250);
    order.push_back(placement->engine);
    if (order.size() > 690) {
      EngineLoad& ended = engines[order[order.size() - 691]].work;
      --ended.streams;
      ended.context -= TokenCount(6'460);
    }
  }
  // No caller gets the last free slot, which another entry may just have used.
  CHECK(chosen_with[11] == 0);
}

TEST_CASE("few short prompts still share few engines") {
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines;
  engines.reserve(78);
  for (int i = 0; i < 78; ++i) {
    engines.push_back({EngineId(std::to_string(i)), EngineLoad()});
  }
  PromptPlacementRequest request{TokenCount(4960),  TokenCount(1500),
                                 milliseconds(300), milliseconds(250),
                                 Duration::zero(),  0,
                                 TokenCount(1500),  true};
  for (std::uint64_t i = 0; i < 90; ++i) {
    request.seed = i;
    EngineLoad& load = engines[placer.Place(request, engines)->engine].work;
    ++load.streams;
    load.context += TokenCount(6'460);
    load.max_event_gap = milliseconds(250);
  }
  const auto used =
      std::count_if(engines.begin(), engines.end(),
                    [](const EngineView& it) { return it.work.streams > 0; });
  // 90 streams fill three quarters of ten engines.
  CHECK(used <= 13);
}

}  // namespace
}  // namespace kingcupdrift
