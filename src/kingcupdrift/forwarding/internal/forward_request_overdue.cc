// Watches the first event of an attempt, and gives the attempt up while there
// is time for a second one.

#include <algorithm>
#include <utility>

#include "kingcupdrift/forwarding/internal/forward_request.h"

namespace kingcupdrift {

void ForwardRequest::StartOverdueTimer(Duration delay) {
  if (plan_.is_relay || !route_->is_streaming || !IsIdempotent() ||
      sends_ >= route_->max_attempts || FindEngineTiming() == nullptr) {
    return;
  }
  overdue_check_at_ = context_.clock.Now() + delay;
  overdue_timer_ = context_.clock.RunAfter(delay, [this] { CheckOverdue(); });
}

void ForwardRequest::CheckOverdue() {
  if (DecideOverdue(DescribeAttempt()).should_leave) {
    const std::optional<std::set<EngineId>> engines = ChooseEnginesToLeave();
    if (engines &&
        context_.overdue_allowance.TryTake(service_, context_.entry_count)) {
      GiveUpOverdueAttempt(*engines);
      return;
    }
    if (!std::exchange(is_overdue_logged_, true)) {
      LogOverdue(engines ? "kept, no retry budget" : "kept, no other engine");
    }
  }
  StartOverdueTimer(kOverdueCheckInterval);
}

AttemptState ForwardRequest::DescribeAttempt() const {
  AttemptState state;
  state.predicted = plan_.predicted_time_to_first_event;
  state.waited = context_.clock.Now() - attempt_sent_at_;
  state.target_quiet = GetQuietTime(plan_.target);
  state.backlog = context_.work_tracker.GetEngineLoad(plan_.target.id).backlog;
  for (const PrefillHelper& it : plan_.helpers) {
    state.helper_quiet = std::max(state.helper_quiet, GetQuietTime(it.engine));
    state.backlog =
        std::max(state.backlog,
                 context_.work_tracker.GetEngineLoad(it.engine.id).backlog);
  }
  state.left_to_first_event = TimeLeftToFirstEvent();
  state.left_to_deadline = TimeLeft();
  state.ideal_time = PromptPlacer(*FindEngineTiming())
                         .EstimateIdealTimeToFirstEvent(MakePlacementRequest());
  state.check_delay = context_.clock.Now() - overdue_check_at_;
  return state;
}

Duration ForwardRequest::GetQuietTime(const EngineAddress& engine) const {
  const MonotonicTime now = context_.clock.Now();
  const TargetRecord* const listed = context_.directory.Find(engine.id);
  // Progress of a later process under the identifier says nothing about this
  // attempt.
  if (listed != nullptr && listed->address.incarnation > engine.incarnation) {
    return now - attempt_sent_at_;
  }
  return now -
         std::max(attempt_sent_at_,
                  context_.work_tracker.GetLastProgress(engine.id).value_or(
                      attempt_sent_at_));
}

std::vector<EngineAddress> ForwardRequest::ListSilentEngines() const {
  const Duration waited = context_.clock.Now() - attempt_sent_at_;
  std::vector<EngineAddress> silent = {plan_.target};
  for (const PrefillHelper& it : plan_.helpers) {
    silent.push_back(it.engine);
  }
  std::erase_if(silent, [&](const EngineAddress& it) {
    return !IsSilent(GetQuietTime(it), waited);
  });
  return silent;
}

std::optional<std::set<EngineId>> ForwardRequest::ChooseEnginesToLeave() {
  // A request that is held back would be refused instead of sent again.
  if (!CanRetry() || GetQuarantineLeft() > Duration::zero()) {
    return std::nullopt;
  }
  const AttemptState state = DescribeAttempt();
  const auto is_in_time = [this, &state](const std::set<EngineId>& engines) {
    const std::optional<Duration> predicted = PredictWithout(engines);
    return predicted && CanFinishInTime(state, *predicted);
  };
  std::set<EngineId> engines = {plan_.target.id};
  for (const EngineAddress& it : ListSilentEngines()) {
    engines.insert(it.id);
  }
  if (is_in_time(engines)) {
    return engines;
  }
  // Helpers without other work show nothing even if they are sound. They may be
  // used again if the target is silent, which explains the delay.
  engines = {plan_.target.id};
  if (IsSilent(state.target_quiet, state.waited) && is_in_time(engines)) {
    return engines;
  }
  return std::nullopt;
}

std::optional<Duration> ForwardRequest::PredictWithout(
    const std::set<EngineId>& engines) {
  const std::set<EngineId> excluded = excluded_targets_;
  excluded_targets_.insert(engines.begin(), engines.end());
  SendPlan plan;
  std::optional<Duration> predicted;
  if (ChooseRelayPeer()) {
    predicted = PromptPlacer(*FindEngineTiming())
                    .EstimateIdealTimeToFirstEvent(MakePlacementRequest());
  } else if (Choose(plan) == PlacementResult::kPlaced) {
    predicted = plan.predicted_time_to_first_event;
  }
  excluded_targets_ = excluded;
  return predicted;
}

void ForwardRequest::GiveUpOverdueAttempt(
    const std::set<EngineId>& left_engines) {
  const std::vector<EngineAddress> silent = ListSilentEngines();
  const EngineId target = plan_.target.id;
  LogOverdue("given up");
  EndAttempt();
  may_have_run_ = true;
  ++context_.overdue_attempts;
  ++context_.interrupted_before_first_event;
  excluded_targets_.insert(left_engines.begin(), left_engines.end());
  for (const EngineAddress& it : silent) {
    if (it.id == target) {
      context_.health.OnFailure(it.id);
      SuspectEngine(it.id);
    } else {
      // A helper without other work is silent even if it is sound, so it is
      // checked, but not avoided by other requests.
      context_.checker.CheckSuspect(it);
    }
  }
  if (!TryRetry(false)) {
    AbortOrRefuse("the first event was overdue and no retry was possible");
  }
}

void ForwardRequest::LogOverdue(std::string_view outcome) {
  const AttemptState state = DescribeAttempt();
  std::string silent;
  for (const EngineAddress& it : ListSilentEngines()) {
    silent += (silent.empty() ? "" : ",") + it.id.value();
  }
  context_.log.Add("forward", "overdue")
      .Text("request", call_.id.value())
      .Text("target", plan_.target.id.value())
      .Text("outcome", outcome)
      .Text("silent", silent)
      .Milliseconds("predicted", state.predicted)
      .Milliseconds("waited", state.waited)
      .Milliseconds("quiet", state.target_quiet)
      .Milliseconds("helpers_quiet", state.helper_quiet)
      .Milliseconds("backlog", state.backlog)
      .Milliseconds("ideal", state.ideal_time)
      .Milliseconds(
          "left", std::min(state.left_to_first_event, state.left_to_deadline));
}

}  // namespace kingcupdrift
