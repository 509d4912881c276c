#include "kingcupdrift/routing/prompt_placer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kingcupdrift {
namespace {

using Seconds = std::chrono::duration<double>;

Duration Scale(Duration time, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

double Ratio(Duration a, Duration b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

}  // namespace

/// An engine as seen by one prompt.
struct PromptPlacer::Candidate {
  std::size_t position = 0;
  EngineLoad work;
  /// Pass with the streams that run there, and with the new one besides.
  Duration iteration_time{0};
  Duration iteration_time_with_request{0};
  /// Longest reading that the streams there bear; absent without streams.
  std::optional<Duration> max_prefill_time;
  /// Memory that is neither taken nor promised.
  TokenCount free_memory;
  bool has_slot = false;
  /// Streams there bear shorter pauses than the new one.
  bool has_stricter_streams = false;
  bool can_help = false;

  bool ToleratesPrefill(Duration reading) const {
    return !max_prefill_time || reading <= *max_prefill_time;
  }
};

// Engines with stricter streams take part only where that gains more than it
// costs the prompts that wait there.
Duration PromptPlacer::EstimateStartDelay(const Candidate& candidate) {
  return candidate.work.backlog + (candidate.has_stricter_streams
                                       ? 4 * kMinPartPrefillTime
                                       : Duration::zero());
}

std::vector<PromptPlacer::Candidate> PromptPlacer::BuildCandidates(
    const PromptPlacementRequest& request,
    const std::vector<EngineView>& engines) const {
  const TokenCount added = request.prompt + request.output;
  const TokenCount planned_memory(static_cast<std::int64_t>(
      kPlannedMemoryFraction * static_cast<double>(timing_.memory.value())));
  std::vector<Candidate> candidates;
  candidates.reserve(engines.size());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    Candidate it;
    it.position = i;
    it.work = engines[i].work;
    it.iteration_time =
        timing_.EstimateIterationTime(it.work.streams, it.work.context);
    it.iteration_time_with_request = timing_.EstimateIterationTime(
        it.work.streams + 1, it.work.context + added);
    it.has_slot = it.work.streams < timing_.slots;
    it.free_memory = std::max(planned_memory - it.work.context, TokenCount());
    it.can_help = it.work.partial_prefills < timing_.slots;
    if (it.work.streams > 0) {
      it.has_stricter_streams = it.work.max_event_gap < request.max_event_gap;
      it.max_prefill_time =
          Scale(it.work.max_event_gap, kPlannedEventGapFraction) -
          it.iteration_time - it.work.backlog;
    }
    candidates.push_back(it);
  }
  return candidates;
}

std::optional<PromptPlacement> PromptPlacer::Place(
    const PromptPlacementRequest& request,
    const std::vector<EngineView>& engines) const {
  const Duration work = timing_.EstimatePrefillTime(request.prompt);
  const std::vector<Candidate> candidates = BuildCandidates(request, engines);
  if (work < 2 * kMinPartPrefillTime + kMinPartPrefillTime) {
    return PlaceWhole(request, work, candidates);
  }
  return PlaceSplit(request, work, candidates);
}

// Short prompts share just as many engines as their streams need, so that the
// others stay free for long reads. The fullest engines are those, so that an
// engine empties once fewer are needed.
std::vector<bool> PromptPlacer::ChooseShared(
    const PromptPlacementRequest& request,
    const std::vector<Candidate>& candidates) const {
  const auto has_similar = [&request](const Candidate& it) {
    return it.work.streams > 0 &&
           it.work.max_event_gap <= request.max_event_gap;
  };
  std::vector<const Candidate*> by_streams;
  int streams = 0;
  for (const Candidate& it : candidates) {
    if (has_similar(it)) {
      by_streams.push_back(&it);
      streams += it.work.streams;
    }
  }
  std::stable_sort(by_streams.begin(), by_streams.end(),
                   [](const Candidate* a, const Candidate* b) {
                     return a->work.streams > b->work.streams;
                   });
  const double per_engine = kSharedEngineFillFraction * timing_.slots;
  const auto wanted = static_cast<std::size_t>(
      std::ceil(static_cast<double>(streams + 1) / per_engine));
  by_streams.resize(std::min(by_streams.size(), wanted));
  std::vector<bool> is_shared(candidates.size(), false);
  for (const Candidate* it : by_streams) {
    is_shared[it->position] = true;
  }
  return is_shared;
}

std::optional<PromptPlacement> PromptPlacer::PlaceWhole(
    const PromptPlacementRequest& request,
    Duration work,
    const std::vector<Candidate>& candidates) const {
  const TokenCount needed = request.prompt + request.output;
  const bool is_urgent = request.queue_time > request.target_latency / 2;
  const Duration good = Scale(request.target_latency, kPlannedLatencyFraction);
  const std::vector<bool> is_shared = ChooseShared(request, candidates);
  SeededRandom random(request.seed);
  std::optional<PromptPlacement> best;
  Duration best_cost{0};
  for (const Candidate& it : candidates) {
    const Duration spread = Scale(kMaxCostJitter, random.NextDouble());
    if (!it.has_slot || it.free_memory < needed ||
        (!is_urgent && !it.ToleratesPrefill(work))) {
      continue;
    }
    PromptPlacement placement;
    placement.engine = it.position;
    placement.part_prefill_time = work;
    placement.time_to_first_event = it.iteration_time / 2 + it.work.backlog +
                                    work + it.iteration_time_with_request;
    // Other engines are taken only once no shared one is good enough, and first
    // those where a stream of a short prompt runs anyway.
    Duration cost = placement.time_to_first_event + spread;
    if (!is_shared[it.position]) {
      const bool is_similar =
          it.work.streams > 0 && it.work.max_event_gap <= request.max_event_gap;
      cost = std::max(cost, good) +
             (is_similar ? kMaxCostJitter : 2 * kMaxCostJitter);
    }
    if (!best || cost < best_cost) {
      best = placement;
      best_cost = cost;
    }
  }
  return best;
}

Duration PromptPlacer::ComputeBacklogLimit(
    const PromptPlacementRequest& request,
    Duration work) const {
  const double size =
      Ratio(std::max(work, kReferencePrefillTime), kReferencePrefillTime);
  const double limit_growth =
      std::exp2(Ratio(request.queue_time, kBacklogLimitDoublingTime));
  return Scale(kBaseBacklogLimit, limit_growth / std::sqrt(size));
}

Duration PromptPlacer::EstimateIdealTimeToFirstEvent(
    const PromptPlacementRequest& request) const {
  const Duration work = timing_.EstimatePrefillTime(request.prompt);
  return work / static_cast<Duration::rep>(kMaxHelpers + 1) +
         timing_.EstimateIterationTime(1, request.prompt + request.output);
}

// Waiting for helpers beats reading with too few of them. The longer the prompt
// has waited, the fewer are enough.
Duration PromptPlacer::ComputeMaxTimeToFirstEvent(
    const PromptPlacementRequest& request) const {
  return 2 * EstimateIdealTimeToFirstEvent(request) +
         request.queue_time / kQueueTimePerExtraDelay;
}

// A prompt with time left waits until nobody is disturbed. One that would come
// late may make a few streams late instead, in proportion to its own work.
int PromptPlacer::ComputeMaxStalledStreams(
    const PromptPlacementRequest& request,
    Duration work) const {
  if (request.queue_time < request.target_latency / kStallEligibilityDivisor ||
      request.queue_time > request.target_latency) {
    return 0;
  }
  return static_cast<int>(work / kPrefillTimePerStalledStream);
}

Duration PromptPlacer::ComputePlacementCost(const PromptPlacement& placement) {
  return placement.time_to_first_event +
         placement.stalled_streams * kStalledStreamCost;
}

std::optional<PromptPlacement> PromptPlacer::PlaceSplit(
    const PromptPlacementRequest& request,
    Duration work,
    const std::vector<Candidate>& candidates) const {
  const Duration accepted = ComputeBacklogLimit(request, work);
  std::vector<const Candidate*> by_start_delay;
  for (const Candidate& it : candidates) {
    if (it.work.backlog <= accepted) {
      by_start_delay.push_back(&it);
    }
  }
  std::stable_sort(by_start_delay.begin(), by_start_delay.end(),
                   [](const Candidate* a, const Candidate* b) {
                     return EstimateStartDelay(*a) < EstimateStartDelay(*b);
                   });
  const int max_stalled_streams = ComputeMaxStalledStreams(request, work);
  std::optional<PromptPlacement> best;
  for (std::size_t helpers = 0; helpers <= kMaxHelpers; ++helpers) {
    const Duration part_prefill_time =
        work / static_cast<Duration::rep>(helpers + 1);
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
         candidate.work.streams <= kMaxStalledStreamsPerEngine &&
         part_prefill_time + candidate.work.backlog <= kMaxStallTime;
}

// The engine that writes the answer; null if none can.
const PromptPlacer::Candidate* PromptPlacer::ChooseDecodeEngine(
    const SplitPlan& split,
    const std::vector<const Candidate*>& by_start_delay) const {
  const Candidate* first = nullptr;
  Duration first_cost{0};
  for (const Candidate* it : by_start_delay) {
    const bool is_short_of_memory = it->free_memory < split.needed;
    if (!it->has_slot || (is_short_of_memory && split.helpers == 0)) {
      continue;
    }
    const int delayed =
        it->ToleratesPrefill(split.part_prefill_time) ? 0 : it->work.streams;
    if (delayed > 0 && (delayed > split.max_stalled_streams ||
                        !CanStallStreams(*it, split.part_prefill_time))) {
      continue;
    }
    const Duration cost =
        EstimateStartDelay(*it) + it->iteration_time_with_request +
        delayed * kStalledStreamCost +
        (is_short_of_memory ? kReserveCost : Duration::zero());
    if (first == nullptr || cost < first_cost) {
      first = it;
      first_cost = cost;
    }
  }
  return first;
}

// Engines that bear the part come first, then those with the fewest streams to
// delay; fewer than wanted if there are no more.
std::vector<const PromptPlacer::Candidate*> PromptPlacer::ChooseHelpers(
    const SplitPlan& split,
    const Candidate& first,
    const std::vector<const Candidate*>& by_start_delay) const {
  std::vector<const Candidate*> helpers;
  std::vector<const Candidate*> delayed;
  for (const Candidate* it : by_start_delay) {
    if (it == &first || !it->can_help) {
      continue;
    }
    if (it->ToleratesPrefill(split.part_prefill_time)) {
      helpers.push_back(it);
    } else if (CanStallStreams(*it, split.part_prefill_time)) {
      delayed.push_back(it);
    }
  }
  std::stable_sort(delayed.begin(), delayed.end(),
                   [](const Candidate* a, const Candidate* b) {
                     return a->work.streams < b->work.streams;
                   });
  int max_stalled_streams = split.max_stalled_streams;
  if (!first.ToleratesPrefill(split.part_prefill_time)) {
    max_stalled_streams -= first.work.streams;
  }
  for (const Candidate* it : delayed) {
    max_stalled_streams -= it->work.streams;
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
  const Candidate* const first = ChooseDecodeEngine(split, by_start_delay);
  if (first == nullptr) {
    return std::nullopt;
  }
  const std::vector<const Candidate*> helpers =
      ChooseHelpers(split, *first, by_start_delay);
  if (helpers.size() < split.helpers) {
    return std::nullopt;
  }
  PromptPlacement placement;
  placement.engine = first->position;
  placement.part_prefill_time = split.part_prefill_time;
  placement.stalled_streams = first->ToleratesPrefill(split.part_prefill_time)
                                  ? 0
                                  : first->work.streams;
  Duration start = EstimateStartDelay(*first);
  for (const Candidate* it : helpers) {
    placement.helpers.push_back(it->position);
    placement.stalled_streams +=
        it->ToleratesPrefill(split.part_prefill_time) ? 0 : it->work.streams;
    start = std::max(start, EstimateStartDelay(*it));
  }
  placement.time_to_first_event = first->iteration_time / 2 + start +
                                  split.part_prefill_time +
                                  first->iteration_time_with_request;
  if (first->free_memory < split.needed) {
    placement.time_to_first_event += kReserveCost;
    if (!DivideMemory(split.needed - first->free_memory, candidates,
                      placement)) {
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
                                std::size_t engines) const {
  const std::size_t used = std::min(engines, kMaxHelpers + 1);
  const auto total = static_cast<std::int64_t>(
      kPlannedMemoryFraction * static_cast<double>(timing_.memory.value()) *
      static_cast<double>(used));
  return (request.prompt + request.output).value() <= total;
}

}  // namespace kingcupdrift
