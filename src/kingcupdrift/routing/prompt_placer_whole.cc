// Placement of short prompts, which are not split.

#include <algorithm>
#include <cmath>

#include "kingcupdrift/routing/internal/placement_candidate.h"
#include "kingcupdrift/routing/internal/slot_wait.h"

namespace kingcupdrift {

// Short prompts share only as many engines as their streams need, so that the
// others stay free for long prefills. The engines with the most streams are
// chosen, so that those with few get no new ones and become free once fewer
// engines are needed.
std::vector<bool> PromptPlacer::ChooseShared(
    const PromptPlacementRequest& request,
    const std::vector<Candidate>& candidates) const {
  const auto runs_short_prompts = [&request](const Candidate& it) {
    return it.load.streams > 0 &&
           it.load.max_event_gap <= request.max_event_gap;
  };
  std::vector<const Candidate*> by_streams;
  int streams = 0;
  for (const Candidate& it : candidates) {
    if (runs_short_prompts(it)) {
      by_streams.push_back(&it);
      streams += it.load.streams;
    }
  }
  std::stable_sort(by_streams.begin(), by_streams.end(),
                   [](const Candidate* a, const Candidate* b) {
                     return a->load.streams > b->load.streams;
                   });
  const double per_engine = kSharedEngineFillFraction * timing_.slots;
  const auto shared_count = static_cast<std::size_t>(
      std::ceil(static_cast<double>(streams + 1) / per_engine));
  by_streams.resize(std::min(by_streams.size(), shared_count));
  std::vector<bool> is_shared(candidates.size(), false);
  for (const Candidate* it : by_streams) {
    is_shared[it->position] = true;
  }
  return is_shared;
}

std::optional<PromptPlacement> PromptPlacer::PlaceWhole(
    const PromptPlacementRequest& request,
    Duration prefill_time,
    const std::vector<Candidate>& candidates) const {
  const TokenCount needed_memory = request.prompt + request.output;
  const bool is_urgent = request.queue_time > request.target_latency / 2;
  const Duration planned_latency =
      Scale(request.target_latency, kPlannedLatencyFraction);
  const std::vector<bool> is_shared = ChooseShared(request, candidates);
  // Iterations of the answer, each of which gives `steps_per_iteration` tokens.
  const std::int64_t iterations =
      request.expected_output.value() / timing_.steps_per_iteration + 1;
  // Several entries may see the same last slot as free and fill it at once, so
  // that only prompts without time left take it.
  const int usable_slots =
      request.shares_engines ? std::max(timing_.slots - 1, 1) : timing_.slots;
  SeededRandom random(request.seed);
  std::optional<PromptPlacement> best;
  Duration best_cost{0};
  for (const Candidate& it : candidates) {
    const Duration jitter = Scale(kMaxCostJitter, random.NextDouble());
    if (!it.has_slot || (!is_urgent && it.load.streams >= usable_slots) ||
        it.free_memory < needed_memory ||
        (!is_urgent && !it.ToleratesPrefill(prefill_time))) {
      continue;
    }
    PromptPlacement placement;
    placement.engine = it.position;
    placement.part_prefill_time = prefill_time;
    placement.time_to_first_event = it.iteration_time / 2 + it.load.backlog +
                                    prefill_time +
                                    it.iteration_time_with_request;
    // Other engines are chosen only if no shared one can answer within the
    // planned latency; among them, those that already run a stream of a short
    // prompt come first.
    Duration cost =
        placement.time_to_first_event + jitter +
        EstimateSlotWait(it.load.streams, timing_.slots,
                         iterations * it.iteration_time_with_request);
    if (!is_shared[it.position]) {
      const bool runs_short_prompt =
          it.load.streams > 0 && it.load.max_event_gap <= request.max_event_gap;
      cost = std::max(cost, planned_latency) +
             (runs_short_prompt ? kMaxCostJitter : 2 * kMaxCostJitter);
    }
    if (!best || cost < best_cost) {
      best = placement;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace kingcupdrift
