#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/forwarding/internal/plain_choice.h"

namespace kingcupdrift {
namespace {

constexpr int kStatusServerError = 500;

}  // namespace

ForwardRequest::ForwardRequest(ForwardContext& context,
                               ForwardCall call,
                               std::unique_ptr<ForwardSink> sink,
                               std::function<void()> on_done)
    : context_(context),
      call_(std::move(call)),
      sink_(std::move(sink)),
      on_done_(std::move(on_done)),
      table_(context.table),
      arrival_(context.clock.Now()),
      deadline_(arrival_) {}

ForwardRequest::~ForwardRequest() {
  context_.queue.Remove(*this);
}

void ForwardRequest::Start() {
  sink_->OnClosed([this] { HandleClosed(); });
  sink_->OnDrained([this] {
    if (attempt_) {
      attempt_->SetPaused(false);
    }
  });
  if (!Admit()) {
    return;
  }
  if (route_->is_streaming) {
    cutter_.emplace(call_.last_event);
  }
  context_.budget.CountRequest(service_);
  deadline_timer_ = context_.clock.RunAfter(deadline_ - arrival_,
                                            [this] { HandleTimeLimit(); });
  if (!TryPlace()) {
    Wait();
  }
}

bool ForwardRequest::Admit() {
  if (!table_) {
    Refuse(ForwardRefusalType::kNotReady, "no configuration yet");
    return false;
  }
  const ServingConfig& config = table_->config();
  route_ = table_->Find(call_.host, call_.target);
  if (route_ == nullptr) {
    Refuse(ForwardRefusalType::kNoRoute, "no route for this host and path");
    return false;
  }
  const auto workspace = config.workspace_of_key.find(call_.key);
  if (workspace != config.workspace_of_key.end()) {
    workspace_ = workspace->second;
  } else if (config.needs_key && !route_->allows_anonymous) {
    Refuse(ForwardRefusalType::kUnknownKey, "the key is not known");
    return false;
  }
  service_ = RouteTable::ChooseService(*route_, context_.random);
  Duration limit = route_->time_limit;
  if (call_.time_limit) {
    limit = std::min(limit, *call_.time_limit);
  }
  deadline_ = arrival_ + limit;
  if (context_.stop && arrival_ >= context_.stop->notice_over &&
      deadline_ > context_.stop->end) {
    Refuse(ForwardRefusalType::kLeaving, "this entry stops");
    return false;
  }
  return true;
}

Duration ForwardRequest::TimeLeft() const {
  return deadline_ - context_.clock.Now();
}

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
      Start(choice);
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

PromptDemand ForwardRequest::Demand() const {
  PromptDemand demand;
  demand.prompt = call_.prompt->prompt;
  demand.output = call_.prompt->max_output;
  demand.target_latency = route_->target_latency;
  demand.pause_limit = route_->pause_limit;
  demand.waited = context_.clock.Now() - arrival_;
  demand.seed = context_.random.Next();
  return demand;
}

ForwardRequest::Placed ForwardRequest::ChooseEngine(
    const std::vector<const TargetRecord*>& targets,
    const EngineTiming& timing,
    Choice& choice) {
  const PromptPlacer placer(timing);
  const PromptDemand demand = Demand();
  if (!placer.Fits(demand, targets.size())) {
    return Placed::kNever;
  }
  std::vector<EngineView> views;
  views.reserve(targets.size());
  for (const TargetRecord* it : targets) {
    views.push_back({it->address.id, context_.book.At(it->address.id)});
  }
  const std::optional<PromptPlacement> placement = placer.Place(demand, views);
  if (!placement) {
    const Duration waited = context_.clock.Now() - arrival_;
    return !has_begun_ && waited > route_->first_event_limit ? Placed::kNever
                                                             : Placed::kWait;
  }
  choice.target = targets[placement->engine]->address;
  for (std::size_t i = 0; i < placement->helpers.size(); ++i) {
    PromptHelper helper;
    helper.engine = targets[placement->helpers[i]]->address;
    helper.held = placement->held.empty() ? TokenCount() : placement->held[i];
    choice.helpers.push_back(std::move(helper));
  }
  choice.part_time = placement->part_time;
  choice.predicted_first = placement->first_event;
  return Placed::kYes;
}

void ForwardRequest::Wait() {
  is_waiting_ = true;
  Duration work{0};
  const auto service = table_->config().services.find(service_);
  if (call_.prompt && service != table_->config().services.end() &&
      service->second.engine) {
    work = service->second.engine->ReadTime(call_.prompt->prompt);
  }
  context_.queue.Add(*this, work);
}

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

void ForwardRequest::Start(const Choice& choice) {
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
      .Number("prompt", call_.prompt ? call_.prompt->prompt.value() : 0)
      .Number("send", sends_)
      .Milliseconds("waited", context_.clock.Now() - arrival_)
      .Milliseconds("predicted", choice.predicted_first)
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
  note.part_time = choice.part_time;
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

void ForwardRequest::OnStreamBegin(int status, const HeaderList& headers) {
  context_.health.OnSuccess(attempt_->target().id);
  if (is_announced_) {
    AnnouncePhase(WorkPhase::kWriting);
  }
  may_have_run_ = true;
  // A stream that goes on keeps the headers of its first engine.
  if (!has_begun_) {
    has_begun_ = true;
    first_event_ = context_.clock.Now() - arrival_;
    sink_->Begin(status, headers);
  }
}

void ForwardRequest::OnStreamEvents(const std::string& events) {
  const MonotonicTime now = context_.clock.Now();
  if (last_event_at_) {
    longest_pause_ = std::max(longest_pause_, now - *last_event_at_);
  }
  last_event_at_ = now;
  sink_->Write(events);
  if (sink_->Unsent() > kMaxUnsentBytes && attempt_) {
    attempt_->SetPaused(true);
  }
}

void ForwardRequest::OnAttemptEnd(ForwardAttemptResult result) {
  const EngineId target = attempt_->target().id;
  EndAttempt();
  switch (result.end) {
    case ForwardAttemptEnd::kStreamEnded:
      sink_->End();
      Finish("completed", "");
      return;
    case ForwardAttemptEnd::kAnswered: {
      may_have_run_ = true;
      const bool has_failed = result.response.status >= kStatusServerError;
      if (has_failed && !has_begun_ && CanRepeat()) {
        tried_.insert(target);
        if (SendAgain(true)) {
          return;
        }
      }
      if (has_begun_) {
        // The engine that should go on with a stream answered otherwise.
        FailOrRefuse("the stream could not be resumed");
        return;
      }
      if (!has_failed) {
        context_.health.OnSuccess(target);
      }
      sink_->Reply(result.response);
      Finish(has_failed ? "target_error" : "completed", "");
      return;
    }
    case ForwardAttemptEnd::kDeclined:
      HandleDeclined(result);
      return;
    case ForwardAttemptEnd::kNotSent:
      tried_.insert(target);
      context_.health.OnFailure(target);
      --sends_;
      ++unsent_;
      if (unsent_ > kMaxUnsent || !SendAgain(false)) {
        FailOrRefuse(result.detail);
      }
      return;
    case ForwardAttemptEnd::kBroken:
      tried_.insert(target);
      context_.health.OnFailure(target);
      HandleBroken(result);
      return;
  }
}

void ForwardRequest::HandleDeclined(const ForwardAttemptResult& result) {
  const EngineId target = choice_.target.id;
  const EngineId at_fault = EngineAtFault(result);
  context_.log.Add("forward", "declined")
      .Text("request", call_.id.value())
      .Text("target", target.value())
      .Text("at_fault", at_fault.value())
      .Number("status", result.response.status);
  tried_.insert(at_fault);
  context_.health.OnFailure(at_fault);
  --sends_;
  ++unsent_;
  if (unsent_ > kMaxUnsent || !SendAgain(true)) {
    FailOrRefuse("targets declined it");
  }
}

EngineId ForwardRequest::EngineAtFault(
    const ForwardAttemptResult& result) const {
  for (const PromptHelper& it : choice_.helpers) {
    if (it.engine.endpoint == result.at_fault) {
      return it.engine.id;
    }
  }
  return choice_.target.id;
}

void ForwardRequest::HandleBroken(const ForwardAttemptResult& result) {
  may_have_run_ = true;
  context_.log.Add("forward", "broken")
      .Text("request", call_.id.value())
      .Text("target", ended_attempts_.back()->target().id.value())
      .Number("events", cutter_ && cutter_->last_event()
                            ? static_cast<std::int64_t>(*cutter_->last_event())
                            : 0)
      .Text("cause", result.detail);
  if (!CanRepeat() || !SendAgain(true)) {
    FailOrRefuse(result.detail);
  }
}

bool ForwardRequest::CanRepeat() const {
  return route_->repeat == RepeatRule::kIdempotent;
}

bool ForwardRequest::SendAgain(bool counts_as_further_send) {
  if (sends_ >= route_->max_attempts || TimeLeft() < kMinTimeLeft) {
    return false;
  }
  if (Targets().empty()) {
    return false;
  }
  if (counts_as_further_send &&
      !context_.budget.TryTake(service_, context_.entry_count)) {
    return false;
  }
  if (!TryPlace()) {
    Wait();
  }
  return true;
}

void ForwardRequest::HandleTimeLimit() {
  const bool is_sent = attempt_ != nullptr;
  EndAttempt();
  if (has_begun_) {
    sink_->Abort();
    Finish("aborted", "the time limit passed inside the stream");
    return;
  }
  Refuse(is_sent || may_have_run_ ? ForwardRefusalType::kTimeLimitSent
                                  : ForwardRefusalType::kTimeLimitNotSent,
         "the time limit passed");
}

void ForwardRequest::HandleClosed() {
  if (is_done_) {
    return;
  }
  EndAttempt();
  Finish("caller_gone", "");
}

void ForwardRequest::FailOrRefuse(std::string_view reason) {
  if (has_begun_) {
    sink_->Abort();
    Finish("aborted", reason);
    return;
  }
  if (may_have_run_) {
    Refuse(ForwardRefusalType::kTargetFailed, reason);
    return;
  }
  Refuse(unsent_ > 0 ? ForwardRefusalType::kTargetDeclined
                     : ForwardRefusalType::kOverloaded,
         reason);
}

void ForwardRequest::Refuse(ForwardRefusalType type, std::string_view reason) {
  ForwardRefusal refusal;
  refusal.type = type;
  if (IsNotRunPromise(type)) {
    // Long enough for the work at hand to move on.
    refusal.retry_after = std::chrono::milliseconds(300);
  }
  sink_->Refuse(refusal);
  Finish(RefusalName(type), reason);
}

void ForwardRequest::Finish(std::string_view outcome, std::string_view reason) {
  if (is_done_) {
    return;
  }
  is_done_ = true;
  deadline_timer_.reset();
  context_.queue.Remove(*this);
  ++context_.outcomes[std::string(outcome)];
  context_.log.Add("forward", "end")
      .Text("request", call_.id.value())
      .Text("route", route_ != nullptr ? route_->name : "")
      .Text("outcome", outcome)
      .Number("sends", sends_)
      .Number("declined", unsent_)
      .Milliseconds("first", first_event_)
      .Milliseconds("pause", longest_pause_)
      .Milliseconds("total", context_.clock.Now() - arrival_)
      .Text("reason", reason);
  on_done_();
}

}  // namespace kingcupdrift
