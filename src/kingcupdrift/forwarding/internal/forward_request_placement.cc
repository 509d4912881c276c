#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/forwarding/internal/plain_choice.h"

namespace kingcupdrift {

bool ForwardRequest::TryAgain() {
  if (is_done_) {
    return true;
  }
  return TryPlace();
}

bool ForwardRequest::TryPlace() {
  Choice choice;
  switch (Choose(choice)) {
    case Placed::kYes:
      Dispatch(choice);
      return true;
    case Placed::kNever:
      FailOrRefuse("no target can serve it in time");
      return true;
    case Placed::kWait:
      return false;
  }
  return false;
}

std::vector<const TargetRecord*> ForwardRequest::Targets() {
  std::vector<const TargetRecord*> usable = context_.directory.Usable(service_);
  std::erase_if(usable, [this](const TargetRecord* it) {
    return tried_.contains(it->address.id);
  });
  const auto is_doubted = [this](const TargetRecord* it) {
    return context_.health.IsDoubted(it->address.id);
  };
  if (!std::all_of(usable.begin(), usable.end(), is_doubted)) {
    std::erase_if(usable, is_doubted);
  }
  return usable;
}

ForwardRequest::Placed ForwardRequest::Choose(Choice& choice) {
  if (TimeLeft() < kMinTimeLeft) {
    return Placed::kNever;
  }
  const std::vector<const TargetRecord*> targets = Targets();
  if (targets.empty()) {
    return Placed::kNever;
  }
  const auto& services = table_->config().services;
  const auto service = services.find(service_);
  if (call_.prompt && service != services.end() && service->second.engine) {
    return ChooseEngine(targets, *service->second.engine, choice);
  }
  return ChoosePlain(targets, choice);
}

ForwardRequest::Placed ForwardRequest::ChoosePlain(
    const std::vector<const TargetRecord*>& targets,
    Choice& choice) {
  const TargetRecord* const target =
      ChoosePlainTarget(targets, context_.sends_in_progress,
                        context_.settings.failure_domain, context_.random);
  if (target == nullptr) {
    return Placed::kWait;
  }
  choice.target = target->address;
  return Placed::kYes;
}

PromptPlacementRequest ForwardRequest::Demand() const {
  PromptPlacementRequest demand;
  demand.prompt = call_.prompt->prompt;
  demand.output = call_.prompt->max_output;
  demand.target_latency = route_->target_latency;
  demand.pause_limit = route_->pause_limit;
  demand.queue_time = context_.clock.Now() - arrival_;
  demand.seed = context_.random.Next();
  return demand;
}

ForwardRequest::Placed ForwardRequest::ChooseEngine(
    const std::vector<const TargetRecord*>& targets,
    const EngineTiming& timing,
    Choice& choice) {
  const PromptPlacer placer(timing);
  const PromptPlacementRequest demand = Demand();
  // A caller that has its first event waits as long as its time limit.
  const Duration left =
      has_begun_ ? TimeLeft() : route_->first_event_limit - demand.queue_time;
  if (!placer.FitsInMemory(demand, targets.size()) ||
      placer.EstimateIdealTimeToFirstEvent(demand) > left) {
    return Placed::kNever;
  }
  std::vector<EngineView> views;
  views.reserve(targets.size());
  for (const TargetRecord* it : targets) {
    views.push_back(
        {it->address.id, context_.book.GetEngineLoad(it->address.id)});
  }
  const std::optional<PromptPlacement> placement = placer.Place(demand, views);
  if (!placement || placement->time_to_first_event > left) {
    return Placed::kWait;
  }
  choice.target = targets[placement->engine]->address;
  for (std::size_t i = 0; i < placement->helpers.size(); ++i) {
    PromptHelper helper;
    helper.engine = targets[placement->helpers[i]]->address;
    helper.held = placement->held.empty() ? TokenCount() : placement->held[i];
    choice.helpers.push_back(std::move(helper));
  }
  choice.part_prefill_time = placement->part_prefill_time;
  choice.predicted_first = placement->time_to_first_event;
  choice.belief = views[placement->engine].work;
  return Placed::kYes;
}

void ForwardRequest::Wait() {
  is_waiting_ = true;
  Duration work{0};
  const auto service = table_->config().services.find(service_);
  if (call_.prompt && service != table_->config().services.end() &&
      service->second.engine) {
    work = service->second.engine->EstimatePrefillTime(call_.prompt->prompt);
  }
  context_.queue.Add(*this, work);
}

}  // namespace kingcupdrift
