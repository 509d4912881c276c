#include "kingcupdrift/routing/prompt_placer.h"

#include <doctest/doctest.h>

#include <set>

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

EngineTiming MakeTiming() {
  EngineTiming timing;
  timing.slots = 16;
  timing.memory = TokenCount(315'000);
  timing.steps_per_iteration = 51;
  timing.base_step_time = std::chrono::microseconds(850);
  timing.step_us_per_stream = 4.25;
  timing.step_us_per_context_token = 0.00285;
  timing.prefill_us_per_token = 1'000'000 / 177'000.0;
  timing.prefill_us_per_token_pair = 0.000184;
  return timing;
}

PromptPlacementRequest MakeShortRequest() {
  return {TokenCount(5000),  TokenCount(1600), milliseconds(300),
          milliseconds(250), Duration::zero(), 1};
}

PromptPlacementRequest MakeLongRequest(std::int64_t tokens = 154'000) {
  return {TokenCount(tokens), TokenCount(800),  milliseconds(3000),
          milliseconds(1000), Duration::zero(), 1};
}

std::vector<EngineView> MakeIdleEngines(int count) {
  std::vector<EngineView> views;
  views.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    views.push_back({EngineId(std::to_string(i)), EngineLoad()});
  }
  return views;
}

EngineLoad MakeLoad(int streams, Duration max_event_gap) {
  EngineLoad load;
  load.streams = streams;
  load.context = TokenCount(std::int64_t{6600} * streams);
  load.max_event_gap = max_event_gap;
  return load;
}

TEST_CASE("short prompts share as many engines as their streams need") {
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines = MakeIdleEngines(6);
  engines[1].work = MakeLoad(5, milliseconds(250));
  engines[2].work = MakeLoad(6, milliseconds(250));
  // Twelve streams, with the new one, fill three quarters of one engine's
  // slots, so that one engine is enough.
  PromptPlacementRequest request = MakeShortRequest();
  for (request.seed = 0; request.seed < 50; ++request.seed) {
    CHECK(placer.Place(request, engines)->engine == 2);
  }
  engines[2].work = MakeLoad(12, milliseconds(250));
  std::set<std::size_t> chosen;
  for (request.seed = 0; request.seed < 50; ++request.seed) {
    chosen.insert(placer.Place(request, engines)->engine);
  }
  CHECK(chosen == std::set<std::size_t>{1, 2});
}

TEST_CASE("a burst of short prompts spreads to further engines") {
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines = MakeIdleEngines(6);
  engines[0].work = MakeLoad(8, milliseconds(250));
  engines[0].work.backlog = milliseconds(140);
  CHECK(placer.Place(MakeShortRequest(), engines)->engine != 0);
}

TEST_CASE("a short prompt avoids an engine that prefills a long one") {
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines = MakeIdleEngines(2);
  engines[0].work.backlog = milliseconds(900);
  CHECK(placer.Place(MakeShortRequest(), engines)->engine == 1);
}

TEST_CASE("a long prompt is prefilled by many engines at once") {
  const PromptPlacer placer(MakeTiming());
  const auto placement = placer.Place(MakeLongRequest(), MakeIdleEngines(23));
  REQUIRE(placement);
  CHECK(placement->helpers.size() == PromptPlacer::kMaxHelpers);
  CHECK(placement->time_to_first_event < milliseconds(400));
  std::set<std::size_t> used(placement->helpers.begin(),
                             placement->helpers.end());
  used.insert(placement->engine);
  CHECK(used.size() == PromptPlacer::kMaxHelpers + 1);
}

TEST_CASE("a very long prompt is prefilled only where it stalls no stream") {
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines = MakeIdleEngines(12);
  for (std::size_t i = 0; i < 6; ++i) {
    engines[i].work = MakeLoad(8, milliseconds(250));
  }
  PromptPlacementRequest request = MakeLongRequest(250'000);
  request.queue_time = milliseconds(2500);
  const auto placement = placer.Place(request, engines);
  REQUIRE(placement);
  CHECK(placement->engine >= 6);
  for (const std::size_t it : placement->helpers) {
    CHECK(it >= 6);
  }
}

TEST_CASE(
    "a long prompt waits while too few engines are free for its prefill") {
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines = MakeIdleEngines(10);
  for (std::size_t i = 1; i < engines.size(); ++i) {
    engines[i].work = MakeLoad(8, milliseconds(250));
  }
  PromptPlacementRequest request = MakeLongRequest(200'000);
  CHECK_FALSE(placer.Place(request, engines));
  // The longer it has waited, the fewer helpers are enough.
  request.queue_time = milliseconds(18'000);
  CHECK(placer.Place(request, engines));
}

TEST_CASE("a long prompt that would be late stalls only a few short streams") {
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines = MakeIdleEngines(12);
  for (std::size_t i = 4; i < engines.size(); ++i) {
    engines[i].work = MakeLoad(i < 7 ? 2 : 8, milliseconds(250));
  }
  // Its prefill takes 3.9 s, so that it may stall at most six streams.
  PromptPlacementRequest request = MakeLongRequest(175'000);
  CHECK_FALSE(placer.Place(request, engines));
  request.queue_time = milliseconds(2500);
  const auto placement = placer.Place(request, engines);
  REQUIRE(placement);
  CHECK(placement->stalled_streams == 6);
  CHECK(placement->helpers.size() == 6);
  CHECK(placement->engine < 7);
  for (const std::size_t it : placement->helpers) {
    CHECK(it < 7);
  }
  // Once it is late itself, it may not stall any stream.
  request.queue_time = milliseconds(3100);
  const auto late = placer.Place(request, engines);
  REQUIRE(late);
  CHECK(late->stalled_streams == 0);
}

TEST_CASE(
    "a prompt larger than one engine's memory is held by several engines") {
  const PromptPlacer placer(MakeTiming());
  const auto placement =
      placer.Place(MakeLongRequest(700'000), MakeIdleEngines(10));
  REQUIRE(placement);
  TokenCount held;
  for (const TokenCount it : placement->held) {
    CHECK(it <= MakeTiming().memory);
    held += it;
  }
  CHECK(held + MakeTiming().memory >= TokenCount(700'800));
  CHECK_FALSE(placer.FitsInMemory(MakeLongRequest(700'000), 2));
}

TEST_CASE("an engine takes no prompt that would exceed its memory") {
  const PromptPlacer placer(MakeTiming());
  std::vector<EngineView> engines = MakeIdleEngines(2);
  engines[0].work = MakeLoad(2, milliseconds(250));
  engines[0].work.context = TokenCount(310'000);
  engines[1].work = MakeLoad(2, milliseconds(250));
  CHECK(placer.Place(MakeShortRequest(), engines)->engine == 1);
  engines[1].work.context = TokenCount(310'000);
  CHECK_FALSE(placer.Place(MakeShortRequest(), engines));
}

}  // namespace
}  // namespace kingcupdrift
