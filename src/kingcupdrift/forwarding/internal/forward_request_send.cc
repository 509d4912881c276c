#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {
namespace {

std::string HelperNames(const std::vector<PromptHelper>& helpers) {
  std::string names;
  for (const PromptHelper& it : helpers) {
    names += (names.empty() ? "" : ",") + it.engine.id.value();
  }
  return names;
}

}  // namespace

AttemptLimits ForwardRequest::LimitsFor(const Choice& choice) const {
  AttemptLimits limits;
  const bool has_alternative = CanRepeat() && sends_ + 1 < route_->max_attempts;
  if (!has_alternative) {
    return limits;
  }
  if (!route_->is_streaming) {
    limits.first = kAnswerPatience * route_->target_latency;
    return limits;
  }
  limits.pause =
      std::max(kPausePatience * route_->pause_limit, kMinPausePatience);
  limits.first = kAnswerPatience * choice.predicted_first +
                 std::max(route_->target_latency, kMinPausePatience);
  return limits;
}

void ForwardRequest::Dispatch(const Choice& choice) {
  is_waiting_ = false;
  choice_ = choice;
  AnnounceWork();
  std::vector<PromptHelper> holders;
  for (PromptHelper& it : choice_.helpers) {
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
  if (is_complete) {
    Send();
    return;
  }
  context_.log.Add("forward", "reservation_failed")
      .Text("request", call_.id.value())
      .Text("attempt", attempt_id_.value());
  EndWork();
  ++failed_reservations_;
  if (failed_reservations_ > kMaxFailedReservations) {
    FailOrRefuse("no memory could be reserved");
    return;
  }
  Wait();
}

void ForwardRequest::Send() {
  const Choice& choice = choice_;
  TargetRequest request;
  request.call = &call_;
  request.workspace = workspace_;
  request.time_left = TimeLeft();
  request.last_event = cutter_ ? cutter_->last_event() : std::nullopt;
  request.helpers = choice.helpers;
  const AttemptLimits limits = LimitsFor(choice);
  ++sends_;
  context_.log.Add("forward", "send")
      .Text("request", call_.id.value())
      .Text("route", route_->name)
      .Text("service", service_.value())
      .Text("target", choice.target.id.value())
      .Number("helpers", static_cast<std::int64_t>(choice.helpers.size()))
      .Text("with", HelperNames(choice.helpers))
      .Milliseconds("part", choice.part_prefill_time)
      .Number("prompt", call_.prompt ? call_.prompt->prompt.value() : 0)
      .Number("send", sends_)
      .Milliseconds("waited", context_.clock.Now() - arrival_)
      .Milliseconds("predicted", choice.predicted_first)
      .Number("streams", choice.belief.streams)
      .Number("helping", choice.belief.partial_prefills)
      .Milliseconds("backlog", choice.belief.backlog)
      .Milliseconds("left", request.time_left)
      .Number("config", table_->config().version.value());
  attempt_ = std::make_unique<ForwardAttempt>(
      context_.clock, context_.targets, choice.target, request,
      cutter_ ? &*cutter_ : nullptr, limits, *this);
}

void ForwardRequest::AnnounceWork() {
  const Choice& choice = choice_;
  if (!call_.prompt) {
    is_counted_ = true;
    ++context_.sends_in_progress[choice.target.id];
    return;
  }
  is_announced_ = true;
  attempt_id_ = AttemptId(context_.settings.instance.value() + "-" +
                          std::to_string(context_.next_attempt++));
  WorkNote note;
  note.attempt = attempt_id_;
  note.engine = choice.target.id;
  for (const PromptHelper& it : choice.helpers) {
    note.helpers.push_back(it.engine.id);
    note.held.push_back(it.held);
  }
  note.prompt = call_.prompt->prompt;
  note.output = call_.prompt->max_output;
  note.pause_limit = route_->pause_limit;
  note.part_prefill_time = choice.part_prefill_time;
  context_.book.Apply(context_.settings.instance, note);
  context_.work_listener(note);
}

void ForwardRequest::AnnouncePhase(WorkPhase phase) {
  WorkNote note;
  note.attempt = attempt_id_;
  note.phase = phase;
  context_.book.Apply(context_.settings.instance, note);
  context_.work_listener(note);
  context_.queue.Wake();
}

void ForwardRequest::EndAttempt() {
  if (attempt_) {
    attempt_->Cancel();
    ended_attempts_.push_back(std::move(attempt_));
  }
  EndWork();
}

void ForwardRequest::EndWork() {
  reservations_.reset();
  if (std::exchange(is_announced_, false)) {
    AnnouncePhase(WorkPhase::kEnded);
  }
  if (std::exchange(is_counted_, false)) {
    --context_.sends_in_progress[choice_.target.id];
    context_.queue.Wake();
  }
}

}  // namespace kingcupdrift
