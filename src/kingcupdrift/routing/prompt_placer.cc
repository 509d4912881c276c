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
  EngineWork work;
  /// Pass with the streams that run there, and with the new one besides.
  Duration pass{0};
  Duration pass_with{0};
  /// Longest reading that the streams there bear; absent without streams.
  std::optional<Duration> room;
  /// Memory that is neither taken nor promised.
  TokenCount free;
  bool has_slot = false;
  /// Streams there bear shorter pauses than the new one.
  bool is_stricter = false;
  bool can_help = false;

  bool Bears(Duration reading) const { return !room || reading <= *room; }
};

// Engines with stricter streams take part only where that gains more than it
// costs the prompts that wait there.
Duration PromptPlacer::StartOf(const Candidate& candidate) {
  return candidate.work.backlog +
         (candidate.is_stricter ? 4 * kMinPart : Duration::zero());
}

std::vector<PromptPlacer::Candidate> PromptPlacer::Assess(
    const PromptDemand& demand,
    const std::vector<EngineView>& engines) const {
  const TokenCount added = demand.prompt + demand.output;
  const TokenCount planned_memory(static_cast<std::int64_t>(
      kPlannedMemory * static_cast<double>(timing_.memory.value())));
  std::vector<Candidate> candidates;
  candidates.reserve(engines.size());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    Candidate it;
    it.position = i;
    it.work = engines[i].work;
    it.pass = timing_.PassTime(it.work.streams, it.work.context);
    it.pass_with =
        timing_.PassTime(it.work.streams + 1, it.work.context + added);
    it.has_slot = it.work.streams < timing_.slots;
    it.free = std::max(planned_memory - it.work.context, TokenCount());
    it.can_help = it.work.helping < timing_.slots;
    if (it.work.streams > 0) {
      it.is_stricter = it.work.pause_limit < demand.pause_limit;
      it.room =
          Scale(it.work.pause_limit, kPlannedPause) - it.pass - it.work.backlog;
    }
    candidates.push_back(it);
  }
  return candidates;
}

std::optional<PromptPlacement> PromptPlacer::Place(
    const PromptDemand& demand,
    const std::vector<EngineView>& engines) const {
  const Duration work = timing_.ReadTime(demand.prompt);
  const std::vector<Candidate> candidates = Assess(demand, engines);
  if (work < 2 * kMinPart + kMinPart) {
    return PlaceWhole(demand, work, candidates);
  }
  return PlaceSplit(demand, work, candidates);
}

// Short prompts share just as many engines as their streams need, so that the
// others stay free for long reads. The fullest engines are those, so that an
// engine empties once fewer are needed.
std::vector<bool> PromptPlacer::ChooseShared(
    const PromptDemand& demand,
    const std::vector<Candidate>& candidates) const {
  const auto has_similar = [&demand](const Candidate& it) {
    return it.work.streams > 0 && it.work.pause_limit <= demand.pause_limit;
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
  const double per_engine = kSharedFill * timing_.slots;
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
    const PromptDemand& demand,
    Duration work,
    const std::vector<Candidate>& candidates) const {
  const TokenCount needed = demand.prompt + demand.output;
  const bool is_urgent = demand.waited > demand.target_latency / 2;
  const Duration good = Scale(demand.target_latency, kGoodLatency);
  const std::vector<bool> is_shared = ChooseShared(demand, candidates);
  SeededRandom random(demand.seed);
  std::optional<PromptPlacement> best;
  Duration best_cost{0};
  for (const Candidate& it : candidates) {
    const Duration spread = Scale(kSpread, random.Unit());
    if (!it.has_slot || it.free < needed || (!is_urgent && !it.Bears(work))) {
      continue;
    }
    PromptPlacement placement;
    placement.engine = it.position;
    placement.part_time = work;
    placement.first_event = it.pass / 2 + it.work.backlog + work + it.pass_with;
    // Other engines are taken only once no shared one is good enough, and first
    // those where a stream of a short prompt runs anyway.
    Duration cost = placement.first_event + spread;
    if (!is_shared[it.position]) {
      const bool is_similar =
          it.work.streams > 0 && it.work.pause_limit <= demand.pause_limit;
      cost = std::max(cost, good) + (is_similar ? kSpread : 2 * kSpread);
    }
    if (!best || cost < best_cost) {
      best = placement;
      best_cost = cost;
    }
  }
  return best;
}

Duration PromptPlacer::AcceptedBacklog(const PromptDemand& demand,
                                       Duration work) const {
  const double size = Ratio(std::max(work, kReferenceWork), kReferenceWork);
  const double patience = std::exp2(Ratio(demand.waited, kPatience));
  return Scale(kMaxBacklog, patience / std::sqrt(size));
}

Duration PromptPlacer::IdealFirstEvent(const PromptDemand& demand) const {
  const Duration work = timing_.ReadTime(demand.prompt);
  return work / static_cast<Duration::rep>(kMaxHelpers + 1) +
         timing_.PassTime(1, demand.prompt + demand.output);
}

// Waiting for helpers beats reading with too few of them. The longer the prompt
// has waited, the fewer are enough.
Duration PromptPlacer::AcceptedFirstEvent(const PromptDemand& demand) const {
  return 2 * IdealFirstEvent(demand) + demand.waited / kWaitedPerDelay;
}

// A prompt with time left waits until nobody is disturbed. One that would come
// late may make a few streams late instead, in proportion to its own work.
int PromptPlacer::DelayableStreams(const PromptDemand& demand,
                                   Duration work) const {
  if (demand.waited < demand.target_latency / kRiskShare ||
      demand.waited > demand.target_latency) {
    return 0;
  }
  return static_cast<int>(work / kWorkPerDelayedStream);
}

Duration PromptPlacer::CostOf(const PromptPlacement& placement) {
  return placement.first_event + placement.delayed_streams * kDelayCost;
}

std::optional<PromptPlacement> PromptPlacer::PlaceSplit(
    const PromptDemand& demand,
    Duration work,
    const std::vector<Candidate>& candidates) const {
  const Duration accepted = AcceptedBacklog(demand, work);
  std::vector<const Candidate*> by_start;
  for (const Candidate& it : candidates) {
    if (it.work.backlog <= accepted) {
      by_start.push_back(&it);
    }
  }
  std::stable_sort(by_start.begin(), by_start.end(),
                   [](const Candidate* a, const Candidate* b) {
                     return StartOf(*a) < StartOf(*b);
                   });
  const int may_delay = DelayableStreams(demand, work);
  std::optional<PromptPlacement> best;
  for (std::size_t helpers = 0; helpers <= kMaxHelpers; ++helpers) {
    const Duration part = work / static_cast<Duration::rep>(helpers + 1);
    if (helpers > 0 && part < kMinPart) {
      break;
    }
    const auto placement =
        SplitOver({demand.prompt + demand.output, part, helpers, may_delay},
                  candidates, by_start);
    if (placement && (!best || CostOf(*placement) < CostOf(*best))) {
      best = placement;
    }
  }
  if (best && best->first_event > AcceptedFirstEvent(demand)) {
    return std::nullopt;
  }
  return best;
}

bool PromptPlacer::MayDelay(const Candidate& candidate, Duration part) {
  return candidate.is_stricter && candidate.work.streams <= kFewStreams &&
         part + candidate.work.backlog <= kMaxDelayingPart;
}

// The engine that writes the answer; null if none can.
const PromptPlacer::Candidate* PromptPlacer::ChooseFirst(
    const Split& split,
    const std::vector<const Candidate*>& by_start) const {
  const Candidate* first = nullptr;
  Duration first_cost{0};
  for (const Candidate* it : by_start) {
    const bool is_short_of_memory = it->free < split.needed;
    if (!it->has_slot || (is_short_of_memory && split.helpers == 0)) {
      continue;
    }
    const int delayed = it->Bears(split.part) ? 0 : it->work.streams;
    if (delayed > 0 &&
        (delayed > split.may_delay || !MayDelay(*it, split.part))) {
      continue;
    }
    const Duration cost =
        StartOf(*it) + it->pass_with + delayed * kDelayCost +
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
    const Split& split,
    const Candidate& first,
    const std::vector<const Candidate*>& by_start) const {
  std::vector<const Candidate*> helpers;
  std::vector<const Candidate*> delayed;
  for (const Candidate* it : by_start) {
    if (it == &first || !it->can_help) {
      continue;
    }
    if (it->Bears(split.part)) {
      helpers.push_back(it);
    } else if (MayDelay(*it, split.part)) {
      delayed.push_back(it);
    }
  }
  std::stable_sort(delayed.begin(), delayed.end(),
                   [](const Candidate* a, const Candidate* b) {
                     return a->work.streams < b->work.streams;
                   });
  int may_delay = split.may_delay;
  if (!first.Bears(split.part)) {
    may_delay -= first.work.streams;
  }
  for (const Candidate* it : delayed) {
    may_delay -= it->work.streams;
    if (may_delay < 0) {
      break;
    }
    helpers.push_back(it);
  }
  helpers.resize(std::min(helpers.size(), split.helpers));
  return helpers;
}

std::optional<PromptPlacement> PromptPlacer::SplitOver(
    const Split& split,
    const std::vector<Candidate>& candidates,
    const std::vector<const Candidate*>& by_start) const {
  const Candidate* const first = ChooseFirst(split, by_start);
  if (first == nullptr) {
    return std::nullopt;
  }
  const std::vector<const Candidate*> helpers =
      ChooseHelpers(split, *first, by_start);
  if (helpers.size() < split.helpers) {
    return std::nullopt;
  }
  PromptPlacement placement;
  placement.engine = first->position;
  placement.part_time = split.part;
  placement.delayed_streams =
      first->Bears(split.part) ? 0 : first->work.streams;
  Duration start = StartOf(*first);
  for (const Candidate* it : helpers) {
    placement.helpers.push_back(it->position);
    placement.delayed_streams += it->Bears(split.part) ? 0 : it->work.streams;
    start = std::max(start, StartOf(*it));
  }
  placement.first_event =
      first->pass / 2 + start + split.part + first->pass_with;
  if (first->free < split.needed) {
    placement.first_event += kReserveCost;
    if (!DivideMemory(split.needed - first->free, candidates, placement)) {
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
    return candidates[placement.helpers[helper]].free;
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

bool PromptPlacer::Fits(const PromptDemand& demand, std::size_t engines) const {
  const std::size_t used = std::min(engines, kMaxHelpers + 1);
  const auto total = static_cast<std::int64_t>(
      kPlannedMemory * static_cast<double>(timing_.memory.value()) *
      static_cast<double>(used));
  return (demand.prompt + demand.output).value() <= total;
}

}  // namespace kingcupdrift
