#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/forwarding/internal/least_loaded_target.h"

namespace kingcupdrift {

bool ForwardRequest::TryResume(bool may_start) {
  if (is_done_) {
    return true;
  }
  return TryDispatch(may_start);
}

bool ForwardRequest::TryDispatch(bool may_start) {
  if (GetQuarantineLeft() > Duration::zero()) {
    HandleQuarantined();
    return true;
  }
  if (const std::optional<RelayPeer> peer = ChooseRelayPeer()) {
    SendToPeer(*peer);
    return true;
  }
  SendPlan plan;
  switch (Choose(plan)) {
    case PlacementResult::kPlaced:
      if (!may_start) {
        return RefuseIfTooLate();
      }
      if (WouldOutlastStop(plan)) {
        Refuse(ForwardRefusalType::kLeaving,
               "this entry stops before an answer could begin");
        return true;
      }
      Dispatch(plan);
      return true;
    case PlacementResult::kImpossible:
      AbortOrRefuse(
          "no target is usable, has enough memory or can answer in time");
      return true;
    case PlacementResult::kMustWait:
      return RefuseIfTooLate();
  }
  return false;
}

bool ForwardRequest::WouldOutlastStop(const SendPlan& plan) const {
  if (!context_.stop || has_begun_ || may_have_run_ ||
      deadline_ <= context_.stop->end) {
    return false;
  }
  const Duration time_to_answer = FindEngineTiming() != nullptr
                                      ? plan.predicted_time_to_first_event
                                      : route_->target_latency;
  return context_.clock.Now() + time_to_answer > context_.stop->end;
}

std::vector<const TargetRecord*> ForwardRequest::ListUntried() {
  std::vector<const TargetRecord*> untried =
      context_.directory.ListUsable(service_);
  std::erase_if(untried, [this](const TargetRecord* it) {
    return excluded_targets_.contains(it->address.id) ||
           !GetTargetDelay(it->address.id);
  });
  return untried;
}

std::optional<Duration> ForwardRequest::GetTargetDelay(
    const EngineId& target) const {
  const std::optional<Duration> limited =
      context_.rate_limiter.GetDelay(target);
  if (!limited) {
    return std::nullopt;
  }
  return std::max(*limited, context_.health.GetPauseLeft(target));
}

std::vector<const TargetRecord*> ForwardRequest::ListCandidates() {
  std::vector<const TargetRecord*> usable = ListUntried();
  std::erase_if(usable, [this](const TargetRecord* it) {
    return GetTargetDelay(it->address.id) > Duration::zero();
  });
  const auto is_in_backoff = [this](const TargetRecord* it) {
    return context_.health.IsInBackoff(it->address.id);
  };
  if (!std::all_of(usable.begin(), usable.end(), is_in_backoff)) {
    std::erase_if(usable, is_in_backoff);
  }
  return usable;
}

std::optional<Duration> ForwardRequest::GetCandidateDelay() {
  std::optional<Duration> delay;
  for (const TargetRecord* const it : ListUntried()) {
    const Duration left = *GetTargetDelay(it->address.id);
    delay = std::min(delay.value_or(left), left);
  }
  return delay;
}

bool ForwardRequest::HasCandidateInTime() {
  const std::optional<Duration> delay = GetCandidateDelay();
  if (!delay || *delay + kMinTimeLeft > TimeLeft()) {
    return false;
  }
  return *delay == Duration::zero() || !FindEngineTiming() ||
         *delay < TimeLeftToFirstEvent();
}

std::size_t ForwardRequest::CountDelayedCandidates() {
  const std::vector<const TargetRecord*> untried = ListUntried();
  return static_cast<std::size_t>(std::count_if(
      untried.begin(), untried.end(), [this](const TargetRecord* it) {
        return GetTargetDelay(it->address.id) > Duration::zero();
      }));
}

Duration ForwardRequest::TimeLeftToFirstEvent() const {
  // Once the caller has its first event, only the time limit applies.
  return has_begun_
             ? TimeLeft()
             : route_->first_event_timeout - (context_.clock.Now() - arrival_);
}

const EngineTiming* ForwardRequest::FindEngineTiming() const {
  const auto& services = table_->config().services;
  const auto service = services.find(service_);
  const bool is_placed_by_timing =
      call_.prompt && service != services.end() && service->second.engine;
  return is_placed_by_timing ? &*service->second.engine : nullptr;
}

ForwardRequest::PlacementResult ForwardRequest::Choose(SendPlan& plan) {
  if (!HasCandidateInTime()) {
    return PlacementResult::kImpossible;
  }
  const std::vector<const TargetRecord*> targets = ListCandidates();
  if (targets.empty()) {
    return PlacementResult::kMustWait;
  }
  if (const EngineTiming* const timing = FindEngineTiming()) {
    return ChooseEngine(targets, *timing, plan);
  }
  return ChooseLeastLoaded(targets, plan);
}

ForwardRequest::PlacementResult ForwardRequest::ChooseLeastLoaded(
    const std::vector<const TargetRecord*>& targets,
    SendPlan& plan) {
  const TargetRecord* const target = ChooseLeastLoadedTarget(
      targets, context_.sends_in_progress, context_.settings.failure_domain,
      context_.random);
  if (target == nullptr) {
    return PlacementResult::kMustWait;
  }
  plan.target = target->address;
  return PlacementResult::kPlaced;
}

PromptPlacementRequest ForwardRequest::MakePlacementRequest() const {
  PromptPlacementRequest request;
  request.prompt = call_.prompt->prompt;
  request.output = call_.prompt->max_output;
  request.expected_output = call_.prompt->expected_output;
  request.shares_engines = context_.entry_count > 1;
  request.target_latency = route_->target_latency;
  request.max_event_gap = route_->max_event_gap;
  request.queue_time = context_.clock.Now() - arrival_;
  request.seed = context_.random.Next();
  return request;
}

ForwardRequest::PlacementResult ForwardRequest::ChooseEngine(
    const std::vector<const TargetRecord*>& targets,
    const EngineTiming& timing,
    SendPlan& plan) {
  const PromptPlacer placer(timing);
  const PromptPlacementRequest request = MakePlacementRequest();
  const Duration time_left = TimeLeftToFirstEvent();
  // Engines that take nothing now can hold a part of the prompt later.
  const std::size_t engine_count = targets.size() + CountDelayedCandidates();
  if (!placer.FitsInMemory(request, engine_count) ||
      placer.EstimateIdealTimeToFirstEvent(request) > time_left) {
    return PlacementResult::kImpossible;
  }
  std::vector<EngineView> views;
  views.reserve(targets.size());
  for (const TargetRecord* it : targets) {
    views.push_back(
        {it->address.id, context_.work_tracker.GetEngineLoad(it->address.id)});
  }
  const std::optional<PromptPlacement> placement = placer.Place(request, views);
  if (!placement || placement->time_to_first_event > time_left) {
    return PlacementResult::kMustWait;
  }
  plan.target = targets[placement->engine]->address;
  for (std::size_t i = 0; i < placement->helpers.size(); ++i) {
    PrefillHelper helper;
    helper.engine = targets[placement->helpers[i]]->address;
    helper.held = placement->held.empty() ? TokenCount() : placement->held[i];
    plan.helpers.push_back(std::move(helper));
  }
  plan.part_prefill_time = placement->part_prefill_time;
  plan.predicted_time_to_first_event = placement->time_to_first_event;
  plan.expected_load = views[placement->engine].work;
  return PlacementResult::kPlaced;
}

void ForwardRequest::EnterWaitQueue() {
  is_waiting_ = true;
  context_.queue.Add(*this, MakeWaitInfo());
}

WaitInfo ForwardRequest::MakeWaitInfo() const {
  WaitInfo info;
  info.request = call_.id;
  info.service = service_;
  info.workspace = workspace_;
  info.priority = FindPriority(table_->config(), *route_, workspace_)
                      .value_or(kDefaultPriority);
  info.uses_priority = table_->HasPriorities(service_);
  info.arrival = arrival_;
  info.max_wait = deadline_ - arrival_;
  info.target_latency = route_->target_latency;
  info.can_hold = excluded_targets_.empty();
  if (const EngineTiming* const timing = FindEngineTiming()) {
    info.work = timing->EstimatePrefillTime(call_.prompt->prompt);
    if (!has_begun_) {
      info.max_wait = std::min(info.max_wait, route_->first_event_timeout);
    }
  }
  return info;
}

}  // namespace kingcupdrift
