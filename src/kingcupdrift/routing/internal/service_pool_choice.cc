// The part of `ServicePool` that estimates times and chooses an engine or a
// group.
#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "kingcupdrift/routing/internal/engine_priority.h"
#include "kingcupdrift/routing/internal/group_choice.h"
#include "kingcupdrift/routing/internal/pool_query.h"
#include "kingcupdrift/routing/internal/service_pool.h"

namespace kingcupdrift {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// The share of other entries' work ahead of a request is estimated from the
/// waiting work of this entry and the learned distribution of prompt lengths.
/// The distribution counts as much as this many waiting tokens.
constexpr double kLengthPriorWeightTokens = 20'000;
/// Seconds added to the estimated wait for each second of excess staleness of
/// the engine's report.
constexpr double kStalenessWaitFactor = 2;
/// Wait for a prefill step in progress, in seconds; priorities do not interrupt
/// a step.
constexpr double kPrefillStepWaitSeconds = 0.15;
/// Backlog ahead of a request, in seconds, above which the request waits in the
/// entry instead of at the engine.
constexpr double kMaxEngineWaitSeconds = 20;

Duration FromSeconds(double seconds) {
  constexpr double kMaxSeconds = 1e6;
  return Duration(static_cast<Duration::rep>(std::min(seconds, kMaxSeconds) *
                                             kMicrosPerSecond));
}

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

}  // namespace

/// Candidates of one query, as slots of a pool.
class PoolView : public CandidateView {
 public:
  PoolView(const ServicePool& pool,
           const PoolQuery& query,
           const std::vector<std::size_t>& slots)
      : pool_(pool), query_(query), slots_(slots) {}

  std::size_t size() const override { return slots_.size(); }

  std::uint32_t InFlight(std::size_t i) const override {
    return pool_.engines_[slots_[i]]->InFlight();
  }

  RouteEstimate Estimate(std::size_t i) const override {
    return pool_.EstimateAt(query_, slots_[i]);
  }

  bool HasFreshNotes() const override {
    return query_.now < pool_.notes_fresh_until_;
  }

  std::optional<std::size_t> FindLongestCachedPrefix() const override {
    std::optional<std::size_t> best;
    std::uint32_t depth = 0;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      if (query_.depths[slots_[i]] > depth) {
        depth = query_.depths[slots_[i]];
        best = i;
      }
    }
    return best;
  }

 private:
  const ServicePool& pool_;
  const PoolQuery& query_;
  const std::vector<std::size_t>& slots_;
};

PoolQuery ServicePool::MakeQuery(const RouteRequest& request) const {
  PoolQuery query;
  query.request = &request;
  query.now = clock_.Now();
  query.prompt_tokens = static_cast<double>(request.prompt_tokens.value());
  query.memory_tokens = query.prompt_tokens +
                        static_cast<double>(request.max_output_tokens.value());
  if (!request.block_digests.empty()) {
    query.tokens_per_block =
        query.prompt_tokens / static_cast<double>(request.block_digests.size());
    query.depths = prefixes_.Lookup(request.block_digests);
  }
  if (uses_length_priority_) {
    const Duration prefill =
        FromSeconds(query.prompt_tokens / MeanPrefillRate());
    const WallTime arrival = clock_.WallNow() - (query.now - request.arrival);
    query.engine_priority = EnginePriority(
        arrival, prefill, StretchFactor(config_), request.priority);
  } else {
    query.engine_priority = request.priority;
  }
  query.share_ahead = ShareAhead(query);
  return query;
}

double ServicePool::ShareAhead(const PoolQuery& query) const {
  double ahead = 0;
  double total = 0;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt->has_first_token) {
      continue;
    }
    total += attempt->uncached;
    if (attempt->priority >= query.engine_priority) {
      ahead += attempt->uncached;
    }
  }
  const double prior = uses_length_priority_
                           ? prompt_lengths_.ShareBelow(query.prompt_tokens)
                           : 1;
  return (ahead + prior * kLengthPriorWeightTokens) /
         (total + kLengthPriorWeightTokens);
}

RouteEstimate ServicePool::EstimateAt(const PoolQuery& query,
                                      std::size_t slot) const {
  const EngineState& engine = *engines_[slot];
  const double rate = engine.PrefillRate();
  const double cached = std::min(query.prompt_tokens,
                                 query.tokens_per_block * query.depths[slot]);
  const double expected_cached = cached * engine.CachePredictionAccuracy();
  const BacklogSplit backlog =
      engine.SplitBacklog(query.now, query.engine_priority, query.share_ahead);
  const double prefill_seconds = (query.prompt_tokens - expected_cached) / rate;
  double wait = backlog.tokens_ahead / rate;
  if (engine.InFlight() > 0) {
    wait += engine.StepSeconds() / 2;
  }
  if (backlog.tokens_ahead + backlog.tokens_behind > 0) {
    wait += kPrefillStepWaitSeconds;
  }
  wait += kStalenessWaitFactor *
          ToSeconds(engine.ComputeExcessStaleness(query.now));
  const double step = engine.StepSeconds();
  const auto output =
      static_cast<double>(query.request->max_output_tokens.value());
  RouteEstimate estimate;
  estimate.wait = FromSeconds(wait);
  estimate.time_to_first_token = FromSeconds(wait + prefill_seconds);
  estimate.total = FromSeconds(wait + prefill_seconds + output * step);
  estimate.inflicted_delay =
      FromSeconds(prefill_seconds * backlog.requests_behind);
  estimate.cached = TokenCount(static_cast<std::int64_t>(cached));
  return estimate;
}

bool ServicePool::CanMeetDeadline(const PoolQuery& query,
                                  const RouteEstimate& estimate) const {
  if (query.request->deadline == MonotonicTime{}) {
    return true;
  }
  const double first_token = ToSeconds(estimate.time_to_first_token);
  const double decode =
      ToSeconds(estimate.total - estimate.time_to_first_token);
  const double expected =
      first_token * prediction_error_.UpperBound(query.prompt_tokens) + decode;
  return query.now + FromSeconds(expected) <= query.request->deadline;
}

ServicePool::Slots ServicePool::FindSlotsWithCapacity(
    const PoolQuery& query,
    const Slots& usable) const {
  Slots slots;
  slots.reserve(usable.size());
  for (const std::size_t slot : usable) {
    const EngineState& engine = *engines_[slot];
    if (engine.FreeMemory() < query.memory_tokens) {
      continue;
    }
    const BacklogSplit backlog = engine.SplitBacklog(
        query.now, query.engine_priority, query.share_ahead);
    if (backlog.tokens_ahead <= kMaxEngineWaitSeconds * engine.PrefillRate()) {
      slots.push_back(slot);
    }
  }
  return slots;
}

Result<Route> ServicePool::Choose(const RouteRequest& request) {
  const Slots usable = UsableSlots(request);
  if (usable.empty()) {
    return MakeError(ErrorCode::kUnavailable, "no usable engine");
  }
  const PoolQuery query = MakeQuery(request);
  const Slots slots = FindSlotsWithCapacity(query, usable);
  if (!slots.empty()) {
    return ChooseSingle(query, slots);
  }
  return ChooseGroup(query, usable);
}

Result<Route> ServicePool::ChooseSingle(const PoolQuery& query,
                                        const Slots& slots) {
  const PoolView view(*this, query, slots);
  const std::size_t i = policy_->Choose(*query.request, config_, view, random_);
  Route route = MakeRoute(query, {slots[i]});
  if (CanMeetDeadline(query, route.estimate)) {
    return route;
  }
  const auto best = std::min_element(
      slots.begin(), slots.end(), [&](std::size_t a, std::size_t b) {
        return EstimateAt(query, a).total < EstimateAt(query, b).total;
      });
  route = MakeRoute(query, {*best});
  if (!CanMeetDeadline(query, route.estimate)) {
    return MakeError(ErrorCode::kDeadlineExceeded,
                     "no engine can finish before the deadline");
  }
  return route;
}

Result<Route> ServicePool::ChooseGroup(const PoolQuery& query,
                                       const Slots& usable) const {
  std::vector<GroupCandidate> candidates;
  double largest = 0;
  for (const std::size_t slot : usable) {
    const EngineState& engine = *engines_[slot];
    largest = std::max(largest, engine.TotalMemory());
    candidates.push_back({slot, engine.FreeMemory(), engine.TotalMemory(),
                          engine.Backlog(query.now) / engine.PrefillRate()});
  }
  if (!CanEverFit(candidates, query.memory_tokens)) {
    return MakeError(ErrorCode::kRefused,
                     "prompt and maximum output fit into no engine group");
  }
  if (query.memory_tokens < kMinGroupShare * largest) {
    return MakeError(
        ErrorCode::kOverloaded,
        "no engine has enough free memory and a short enough backlog, and the "
        "request is too small for an engine group");
  }
  const Slots members = PickGroup(candidates, query.memory_tokens);
  if (members.empty()) {
    return MakeError(ErrorCode::kOverloaded,
                     "no engine group has enough free memory");
  }
  Route route = MakeRoute(query, members);
  if (!CanMeetDeadline(query, route.estimate)) {
    return MakeError(
        ErrorCode::kDeadlineExceeded,
        "the chosen engine group cannot finish before the deadline");
  }
  return route;
}

Route ServicePool::MakeRoute(const PoolQuery& query,
                             const Slots& members) const {
  Route route;
  const auto n = static_cast<double>(members.size());
  const auto share =
      static_cast<std::int64_t>(std::ceil(query.memory_tokens / n));
  for (const std::size_t slot : members) {
    route.members.push_back({Address(slot), TokenCount(share)});
  }
  route.engine_priority = query.engine_priority;
  route.estimate = EstimateAt(query, members.front());
  return route;
}

Result<RouteEstimate> ServicePool::Predict(const RouteRequest& request) const {
  const Slots usable = UsableSlots(request);
  if (usable.empty()) {
    return MakeError(ErrorCode::kUnavailable, "no usable engine");
  }
  const PoolQuery query = MakeQuery(request);
  double total_memory = 0;
  std::optional<RouteEstimate> best;
  for (const std::size_t slot : usable) {
    total_memory += engines_[slot]->TotalMemory();
    const RouteEstimate estimate = EstimateAt(query, slot);
    if (!best || estimate.total < best->total) {
      best = estimate;
    }
  }
  if (query.memory_tokens > total_memory) {
    return MakeError(
        ErrorCode::kRefused,
        "prompt and maximum output exceed the memory of all engines together");
  }
  const double first_token = ToSeconds(best->time_to_first_token) *
                             prediction_error_.UpperBound(query.prompt_tokens);
  best->total += FromSeconds(first_token) - best->time_to_first_token;
  best->time_to_first_token = FromSeconds(first_token);
  return *best;
}

}  // namespace kingcupdrift
