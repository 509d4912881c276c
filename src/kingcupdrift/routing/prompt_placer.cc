#include "kingcupdrift/routing/prompt_placer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "kingcupdrift/routing/internal/placement_candidate.h"

namespace kingcupdrift {
namespace {

double Ratio(Duration a, Duration b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

}  // namespace

// Using an engine with stricter streams delays short prompts that would go
// there. The penalty of 4 * kMinPartPrefillTime is the assumed cost: such an
// engine takes part only if it saves more than that.
Duration PromptPlacer::EstimateStartDelay(const Candidate& candidate) {
  return candidate.load.backlog + (candidate.has_stricter_streams
                                       ? 4 * kMinPartPrefillTime
                                       : Duration::zero());
}

std::vector<PromptPlacer::Candidate> PromptPlacer::BuildCandidates(
    const PromptPlacementRequest& request,
    const std::vector<EngineView>& engines) const {
  const TokenCount added_context = request.prompt + request.output;
  const TokenCount planned_memory(static_cast<std::int64_t>(
      kPlannedMemoryFraction * static_cast<double>(timing_.memory.value())));
  std::vector<Candidate> candidates;
  candidates.reserve(engines.size());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    Candidate it;
    it.position = i;
    it.load = engines[i].work;
    it.iteration_time =
        timing_.EstimateIterationTime(it.load.streams, it.load.context);
    it.iteration_time_with_request = timing_.EstimateIterationTime(
        it.load.streams + 1, it.load.context + added_context);
    it.has_slot = it.load.streams < timing_.slots;
    it.free_memory = std::max(planned_memory - it.load.context, TokenCount());
    it.can_help = it.load.partial_prefills < timing_.slots;
    if (it.load.streams > 0) {
      it.has_stricter_streams = it.load.max_event_gap < request.max_event_gap;
      it.max_prefill_time =
          Scale(it.load.max_event_gap, kPlannedEventGapFraction) -
          it.iteration_time -
          std::max(it.load.backlog, it.load.pending_prefill);
    }
    candidates.push_back(it);
  }
  return candidates;
}

std::optional<PromptPlacement> PromptPlacer::Place(
    const PromptPlacementRequest& request,
    const std::vector<EngineView>& engines) const {
  const Duration prefill_time = timing_.EstimatePrefillTime(request.prompt);
  const std::vector<Candidate> candidates = BuildCandidates(request, engines);
  // A prompt with less prefill than 3 * kMinPartPrefillTime is short: not
  // split.
  if (prefill_time < 2 * kMinPartPrefillTime + kMinPartPrefillTime) {
    return PlaceWhole(request, prefill_time, candidates);
  }
  return PlaceSplit(request, prefill_time, candidates);
}

Duration PromptPlacer::ComputeBacklogLimit(
    const PromptPlacementRequest& request,
    Duration prefill_time) const {
  const double size = Ratio(std::max(prefill_time, kReferencePrefillTime),
                            kReferencePrefillTime);
  const double limit_growth =
      std::exp2(Ratio(request.queue_time, kBacklogLimitDoublingTime));
  return Scale(kBaseBacklogLimit, limit_growth / std::sqrt(size));
}

Duration PromptPlacer::EstimateIdealTimeToFirstEvent(
    const PromptPlacementRequest& request) const {
  const Duration prefill_time = timing_.EstimatePrefillTime(request.prompt);
  return prefill_time / static_cast<Duration::rep>(kMaxHelpers + 1) +
         timing_.EstimateIterationTime(1, request.prompt + request.output);
}

// A prompt waits if too few helpers are available, since a prefill with more of
// them ends earlier. The longer it has waited, the fewer helpers are enough.
Duration PromptPlacer::ComputeMaxTimeToFirstEvent(
    const PromptPlacementRequest& request) const {
  return 2 * EstimateIdealTimeToFirstEvent(request) +
         request.queue_time / kQueueTimePerExtraDelay;
}

// A prompt may stall streams once its queue time has reached target latency /
// kStallEligibilityDivisor; before that, and beyond the target latency, it may
// stall none. The number is proportional to its own prefill time.
int PromptPlacer::ComputeMaxStalledStreams(
    const PromptPlacementRequest& request,
    Duration prefill_time) const {
  if (request.queue_time < request.target_latency / kStallEligibilityDivisor ||
      request.queue_time > request.target_latency) {
    return 0;
  }
  return static_cast<int>(prefill_time / kPrefillTimePerStalledStream);
}

Duration PromptPlacer::ComputePlacementCost(const PromptPlacement& placement) {
  return placement.time_to_first_event +
         placement.stalled_streams * kStalledStreamCost;
}

std::optional<PromptPlacement> PromptPlacer::PlaceSplit(
    const PromptPlacementRequest& request,
    Duration prefill_time,
    const std::vector<Candidate>& candidates) const {
  const Duration backlog_limit = ComputeBacklogLimit(request, prefill_time);
  std::vector<const Candidate*> by_start_delay;
  for (const Candidate& it : candidates) {
    if (it.load.backlog <= backlog_limit) {
      by_start_delay.push_back(&it);
    }
  }
  std::stable_sort(by_start_delay.begin(), by_start_delay.end(),
                   [](const Candidate* a, const Candidate* b) {
                     return EstimateStartDelay(*a) < EstimateStartDelay(*b);
                   });
  const int max_stalled_streams =
      ComputeMaxStalledStreams(request, prefill_time);
  std::optional<PromptPlacement> best;
  for (std::size_t helpers = 0; helpers <= kMaxHelpers; ++helpers) {
    const Duration part_prefill_time =
        prefill_time / static_cast<Duration::rep>(helpers + 1);
    if (helpers > 0 && part_prefill_time < kMinPartPrefillTime) {
      break;
    }
    const auto placement =
        TryPlaceSplit({request.prompt + request.output, part_prefill_time,
                       helpers, max_stalled_streams},
                      candidates, by_start_delay);
    if (placement && (!best || ComputePlacementCost(*placement) <
                                   ComputePlacementCost(*best))) {
      best = placement;
    }
  }
  if (best && best->time_to_first_event > ComputeMaxTimeToFirstEvent(request)) {
    return std::nullopt;
  }
  return best;
}

bool PromptPlacer::CanStallStreams(const Candidate& candidate,
                                   Duration part_prefill_time) {
  return candidate.has_stricter_streams &&
         candidate.load.streams <= kMaxStalledStreamsPerEngine &&
         part_prefill_time + candidate.load.backlog <= kMaxStallTime;
}

// Returns the cheapest engine for the decode; null if none can take it.
const PromptPlacer::Candidate* PromptPlacer::ChooseDecodeEngine(
    const SplitPlan& split,
    const std::vector<const Candidate*>& by_start_delay) const {
  const Candidate* decode_engine = nullptr;
  Duration decode_cost{0};
  for (const Candidate* it : by_start_delay) {
    const bool is_short_of_memory = it->free_memory < split.needed_memory;
    if (!it->has_slot || (is_short_of_memory && split.helpers == 0)) {
      continue;
    }
    const int stalled =
        it->ToleratesPrefill(split.part_prefill_time) ? 0 : it->load.streams;
    if (stalled > 0 && (stalled > split.max_stalled_streams ||
                        !CanStallStreams(*it, split.part_prefill_time))) {
      continue;
    }
    const Duration cost =
        EstimateStartDelay(*it) + it->iteration_time_with_request +
        stalled * kStalledStreamCost +
        (is_short_of_memory ? kReserveCost : Duration::zero());
    if (decode_engine == nullptr || cost < decode_cost) {
      decode_engine = it;
      decode_cost = cost;
    }
  }
  return decode_engine;
}

// Engines whose streams tolerate the part come first, then those that
// stall the fewest streams. Returns fewer than `split.helpers` if there are no
// more.
std::vector<const PromptPlacer::Candidate*> PromptPlacer::ChooseHelpers(
    const SplitPlan& split,
    const Candidate& decode_engine,
    const std::vector<const Candidate*>& by_start_delay) const {
  std::vector<const Candidate*> helpers;
  std::vector<const Candidate*> stalled;
  for (const Candidate* it : by_start_delay) {
    if (it == &decode_engine || !it->can_help) {
      continue;
    }
    if (it->ToleratesPrefill(split.part_prefill_time)) {
      helpers.push_back(it);
    } else if (CanStallStreams(*it, split.part_prefill_time)) {
      stalled.push_back(it);
    }
  }
  std::stable_sort(stalled.begin(), stalled.end(),
                   [](const Candidate* a, const Candidate* b) {
                     return a->load.streams < b->load.streams;
                   });
  int max_stalled_streams = split.max_stalled_streams;
  if (!decode_engine.ToleratesPrefill(split.part_prefill_time)) {
    max_stalled_streams -= decode_engine.load.streams;
  }
  for (const Candidate* it : stalled) {
    max_stalled_streams -= it->load.streams;
    if (max_stalled_streams < 0) {
      break;
    }
    helpers.push_back(it);
  }
  helpers.resize(std::min(helpers.size(), split.helpers));
  return helpers;
}

std::optional<PromptPlacement> PromptPlacer::TryPlaceSplit(
    const SplitPlan& split,
    const std::vector<Candidate>& candidates,
    const std::vector<const Candidate*>& by_start_delay) const {
  const Candidate* const decode_engine =
      ChooseDecodeEngine(split, by_start_delay);
  if (decode_engine == nullptr) {
    return std::nullopt;
  }
  const std::vector<const Candidate*> helpers =
      ChooseHelpers(split, *decode_engine, by_start_delay);
  if (helpers.size() < split.helpers) {
    return std::nullopt;
  }
  PromptPlacement placement;
  placement.engine = decode_engine->position;
  placement.part_prefill_time = split.part_prefill_time;
  placement.stalled_streams =
      decode_engine->ToleratesPrefill(split.part_prefill_time)
          ? 0
          : decode_engine->load.streams;
  Duration start_delay = EstimateStartDelay(*decode_engine);
  for (const Candidate* it : helpers) {
    placement.helpers.push_back(it->position);
    placement.stalled_streams +=
        it->ToleratesPrefill(split.part_prefill_time) ? 0 : it->load.streams;
    start_delay = std::max(start_delay, EstimateStartDelay(*it));
  }
  placement.time_to_first_event = decode_engine->iteration_time / 2 +
                                  start_delay + split.part_prefill_time +
                                  decode_engine->iteration_time_with_request;
  if (decode_engine->free_memory < split.needed_memory) {
    placement.time_to_first_event += kReserveCost;
    if (!DivideMemory(split.needed_memory - decode_engine->free_memory,
                      candidates, placement)) {
      return std::nullopt;
    }
  }
  return placement;
}

bool PromptPlacer::DivideMemory(TokenCount missing,
                                const std::vector<Candidate>& candidates,
                                PromptPlacement& placement) const {
  std::vector<std::size_t> by_memory(placement.helpers.size());
  std::iota(by_memory.begin(), by_memory.end(), 0);
  const auto free_of = [&](std::size_t helper) {
    return candidates[placement.helpers[helper]].free_memory;
  };
  std::stable_sort(
      by_memory.begin(), by_memory.end(),
      [&](std::size_t a, std::size_t b) { return free_of(a) > free_of(b); });
  placement.held.assign(placement.helpers.size(), TokenCount());
  for (const std::size_t helper : by_memory) {
    const TokenCount taken = std::min(missing, free_of(helper));
    placement.held[helper] = taken;
    missing -= taken;
  }
  return missing <= TokenCount();
}

bool PromptPlacer::FitsInMemory(const PromptPlacementRequest& request,
                                std::size_t engine_count) const {
  const std::size_t used = std::min(engine_count, kMaxHelpers + 1);
  const auto total = static_cast<std::int64_t>(
      kPlannedMemoryFraction * static_cast<double>(timing_.memory.value()) *
      static_cast<double>(used));
  return (request.prompt + request.output).value() <= total;
}

}  // namespace kingcupdrift
