#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/forwarding/request_priority.h"

namespace kingcupdrift {
namespace {

std::string JoinHelperIds(const std::vector<PrefillHelper>& helpers) {
  std::string ids;
  for (const PrefillHelper& it : helpers) {
    ids += (ids.empty() ? "" : ",") + it.engine.id.value();
  }
  return ids;
}

}  // namespace

std::optional<RelayPeer> ForwardRequest::ChooseRelayPeer() {
  if (!context_.reachability.is_cut_off() || call_.is_relayed) {
    return std::nullopt;
  }
  std::vector<RelayPeer> peers = context_.relay_peers;
  std::erase_if(peers, [this](const RelayPeer& it) {
    return excluded_targets_.contains(EngineId(it.id.value()));
  });
  const auto is_remote = [this](const RelayPeer& it) {
    return it.failure_domain != context_.settings.failure_domain;
  };
  if (!std::all_of(peers.begin(), peers.end(), is_remote)) {
    std::erase_if(peers, is_remote);
  }
  if (peers.empty()) {
    return std::nullopt;
  }
  return peers[context_.random.Next() % peers.size()];
}

void ForwardRequest::SendToPeer(const RelayPeer& peer) {
  is_waiting_ = false;
  plan_ = SendPlan();
  plan_.target = {EngineId(peer.id.value()), peer.endpoint};
  plan_.is_relay = true;
  ++context_.relayed_requests;
  Send();
}

AttemptTimeouts ForwardRequest::ChooseTimeouts(const SendPlan& plan) const {
  AttemptTimeouts timeouts;
  if (plan.is_relay) {
    // The other entry has timeouts of its own.
    return timeouts;
  }
  const bool has_alternative =
      IsIdempotent() && sends_ + 1 < route_->max_attempts;
  if (!has_alternative) {
    return timeouts;
  }
  if (!route_->is_streaming) {
    timeouts.answer_timeout = kAnswerTimeoutFactor * route_->target_latency;
    return timeouts;
  }
  timeouts.stall_timeout =
      std::max(kStallTimeoutFactor * route_->max_event_gap, kMinStallTimeout);
  if (FindEngineTiming() == nullptr) {
    timeouts.answer_timeout =
        kAnswerTimeoutFactor * plan.predicted_time_to_first_event +
        std::max(route_->target_latency, kMinStallTimeout);
  }
  return timeouts;
}

void ForwardRequest::Dispatch(const SendPlan& plan) {
  is_waiting_ = false;
  plan_ = plan;
  RegisterWork();
  counted_at_ = context_.rate_limiter.CountRequest(plan_.target.id);
  for (const PrefillHelper& it : plan_.helpers) {
    context_.rate_limiter.CountRequest(it.engine.id);
  }
  std::vector<PrefillHelper> holders;
  for (PrefillHelper& it : plan_.helpers) {
    if (it.held > TokenCount()) {
      it.reservation = ReservationId(attempt_id_.value() + "-" +
                                     std::to_string(holders.size()));
      holders.push_back(it);
    }
  }
  if (holders.empty()) {
    Send();
    return;
  }
  reservations_ = std::make_unique<ReservationSet>(
      context_.clock, context_.targets, std::move(holders),
      [this](bool is_complete) { OnReserved(is_complete); });
  reservations_->Start();
}

void ForwardRequest::OnReserved(bool is_complete) {
  if (is_complete && IsPlanValid() && GetQuarantineLeft() == Duration::zero()) {
    Send();
    return;
  }
  if (is_complete) {
    context_.log.Add("forward", "plan_outdated")
        .Text("request", call_.id.value())
        .Text("attempt", attempt_id_.value());
    ReleaseWork();
    EnterWaitQueue();
    return;
  }
  context_.log.Add("forward", "reservation_failed")
      .Text("request", call_.id.value())
      .Text("attempt", attempt_id_.value());
  ReleaseWork();
  ++failed_reservations_;
  if (failed_reservations_ > kMaxFailedReservations) {
    AbortOrRefuse("no memory could be reserved for the prompt");
    return;
  }
  EnterWaitQueue();
}

bool ForwardRequest::IsPlanValid() const {
  const auto is_open = [this](const EngineId& engine) {
    return context_.directory.IsUsable(engine) &&
           !context_.health.IsPaused(engine);
  };
  return is_open(plan_.target.id) &&
         std::all_of(plan_.helpers.begin(), plan_.helpers.end(),
                     [&is_open](const PrefillHelper& it) {
                       return is_open(it.engine.id);
                     });
}

void ForwardRequest::Send() {
  const SendPlan& plan = plan_;
  TargetRequest request;
  request.call = &call_;
  request.workspace = workspace_;
  if (call_.prompt && table_->HasPriorities(service_)) {
    request.priority = FindPriority(table_->config(), *route_, workspace_);
  }
  request.time_left = TimeLeft();
  request.last_event_id = framer_ ? framer_->last_event_id() : std::nullopt;
  request.helpers = plan.helpers;
  request.is_relay = plan.is_relay;
  const AttemptTimeouts timeouts = ChooseTimeouts(plan);
  ++sends_;
  attempt_sent_at_ = context_.clock.Now();
  attempt_begun_at_.reset();
  is_attempt_proven_ = false;
  context_.log.Add("forward", "send")
      .Text("request", call_.id.value())
      .Text("route", route_->name)
      .Text("service", service_.value())
      .Text("target", plan.target.id.value())
      .Number("relay", plan.is_relay ? 1 : 0)
      .Number("helpers", static_cast<std::int64_t>(plan.helpers.size()))
      .Text("with", JoinHelperIds(plan.helpers))
      .Milliseconds("part", plan.part_prefill_time)
      .Number("prompt", call_.prompt ? call_.prompt->prompt.value() : 0)
      .Text("parts", JoinSharedParts())
      .Text("work", work_keys_.back().value())
      .Number("send", sends_)
      .Milliseconds("waited", context_.clock.Now() - arrival_)
      .Milliseconds("predicted", plan.predicted_time_to_first_event)
      .Number("streams", plan.expected_load.streams)
      .Number("helping", plan.expected_load.partial_prefills)
      .Milliseconds("backlog", plan.expected_load.backlog)
      .Milliseconds("left", request.time_left)
      .Number("priority", request.priority.value_or(kDefaultPriority))
      .Number("config", table_->config().version.value());
  attempt_ = std::make_unique<ForwardAttempt>(
      context_.clock, context_.targets, plan.target, request,
      framer_ ? &*framer_ : nullptr, timeouts, *this);
  is_overdue_logged_ = false;
  StartOverdueTimer(kPredictionError * plan.predicted_time_to_first_event +
                    kMinOverdueMargin);
}

std::string ForwardRequest::JoinSharedParts() const {
  std::string ids;
  if (call_.prompt) {
    for (const PromptPartId& it : call_.prompt->shared_parts) {
      ids += (ids.empty() ? "" : ",") + it.value();
    }
  }
  return ids;
}

void ForwardRequest::RegisterWork() {
  const SendPlan& plan = plan_;
  if (!call_.prompt) {
    is_counted_in_progress_ = true;
    ++context_.sends_in_progress[plan.target.id];
    return;
  }
  is_work_registered_ = true;
  attempt_id_ = AttemptId(context_.settings.instance.value() + "-" +
                          std::to_string(context_.next_prompt_attempt++));
  WorkNote note;
  note.attempt = attempt_id_;
  note.engine = plan.target.id;
  for (const PrefillHelper& it : plan.helpers) {
    note.helpers.push_back(it.engine.id);
    note.held.push_back(it.held);
  }
  note.prompt = call_.prompt->prompt;
  note.output = call_.prompt->max_output;
  note.max_event_gap = route_->max_event_gap;
  note.part_prefill_time = plan.part_prefill_time;
  context_.work_tracker.Apply(context_.settings.instance, note);
  context_.work_listener(note);
}

void ForwardRequest::UpdateWorkPhase(WorkPhase phase) {
  WorkNote note;
  note.attempt = attempt_id_;
  note.phase = phase;
  context_.work_tracker.Apply(context_.settings.instance, note);
  context_.work_listener(note);
  context_.queue.Wake();
}

void ForwardRequest::EndAttempt() {
  overdue_timer_.reset();
  if (attempt_) {
    attempt_->Cancel();
    ended_attempts_.push_back(std::move(attempt_));
    buffer_.HandleAttemptEnd();
  }
  ReleaseWork();
}

void ForwardRequest::ReleaseWork() {
  reservations_.reset();
  if (std::exchange(is_work_registered_, false)) {
    UpdateWorkPhase(WorkPhase::kEnded);
  }
  if (std::exchange(is_counted_in_progress_, false)) {
    --context_.sends_in_progress[plan_.target.id];
    context_.queue.Wake();
  }
}

}  // namespace kingcupdrift
