#include "kingcupdrift/routing/prompt_placer.h"

#include <algorithm>
#include <cmath>

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
  /// The new stream has a slot and memory there.
  bool has_place = false;
  /// Streams there bear shorter pauses than the new one.
  bool is_stricter = false;
  bool can_help = false;

  bool Bears(Duration reading) const { return !room || reading <= *room; }
};

std::vector<PromptPlacer::Candidate> PromptPlacer::Assess(
    const PromptDemand& demand,
    const std::vector<EngineView>& engines) const {
  const TokenCount added = demand.prompt + demand.output;
  std::vector<Candidate> candidates;
  candidates.reserve(engines.size());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    Candidate it;
    it.position = i;
    it.work = engines[i].work;
    it.pass = timing_.PassTime(it.work.streams, it.work.context);
    it.pass_with =
        timing_.PassTime(it.work.streams + 1, it.work.context + added);
    it.has_place = it.work.streams < timing_.slots &&
                   it.work.context + added <= timing_.memory;
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

std::optional<PromptPlacement> PromptPlacer::PlaceWhole(
    const PromptDemand& demand,
    Duration work,
    const std::vector<Candidate>& candidates) const {
  // A free engine is taken once the others are late by a third of the target.
  const Duration opening_cost = demand.target_latency / 3;
  const bool is_urgent = demand.waited > demand.target_latency / 2;
  std::optional<PromptPlacement> best;
  Duration best_cost{0};
  for (const Candidate& it : candidates) {
    const bool is_similar =
        it.work.streams > 0 && it.work.pause_limit <= demand.pause_limit;
    if (!it.has_place || (!is_urgent && !it.Bears(work))) {
      continue;
    }
    PromptPlacement placement;
    placement.engine = it.position;
    placement.part_time = work;
    placement.first_event = it.pass / 2 + it.work.backlog + work + it.pass_with;
    const Duration cost =
        placement.first_event + (is_similar ? Duration::zero() : opening_cost);
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

// Engines with stricter streams help only where that gains more than it costs
// the prompts that wait there.
Duration PromptPlacer::HelperRoom(const Candidate& candidate,
                                  Duration backlog) {
  return backlog + (candidate.is_stricter ? 4 * kMinPart : Duration::zero());
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
  const auto start_of = [](const Candidate* it) {
    return HelperRoom(*it, it->work.backlog);
  };
  std::stable_sort(by_start.begin(), by_start.end(),
                   [&](const Candidate* a, const Candidate* b) {
                     return start_of(a) < start_of(b);
                   });
  std::optional<PromptPlacement> best;
  for (std::size_t helpers = 0; helpers <= kMaxHelpers; ++helpers) {
    const Duration part = work / static_cast<Duration::rep>(helpers + 1);
    if (helpers > 0 && part < kMinPart) {
      break;
    }
    const Candidate* first = nullptr;
    Duration first_cost{0};
    for (const Candidate* it : by_start) {
      const Duration cost = start_of(it) + it->pass_with;
      if (it->has_place && it->Bears(part) &&
          (first == nullptr || cost < first_cost)) {
        first = it;
        first_cost = cost;
      }
    }
    if (first == nullptr) {
      continue;
    }
    PromptPlacement placement;
    placement.engine = first->position;
    placement.part_time = part;
    Duration start = start_of(first);
    for (const Candidate* it : by_start) {
      if (placement.helpers.size() == helpers) {
        break;
      }
      if (it != first && it->can_help && it->Bears(part)) {
        placement.helpers.push_back(it->position);
        start = std::max(start, start_of(it));
      }
    }
    if (placement.helpers.size() < helpers) {
      continue;
    }
    placement.first_event = first->pass / 2 + start + part + first->pass_with;
    if (!best || placement.first_event < best->first_event) {
      best = placement;
    }
  }
  return best;
}

bool PromptPlacer::Fits(const PromptDemand& demand, std::size_t engines) const {
  const std::int64_t total =
      timing_.memory.value() * static_cast<std::int64_t>(engines);
  return (demand.prompt + demand.output).value() <= total;
}

}  // namespace kingcupdrift
