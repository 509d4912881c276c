#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/forwarding/work_key.h"

namespace kingcupdrift {

ForwardRequest::ForwardRequest(ForwardContext& context,
                               ForwardCall call,
                               std::unique_ptr<ForwardSink> sink,
                               std::function<void()> on_done)
    : context_(context),
      call_(std::move(call)),
      sink_(std::move(sink)),
      buffer_(context_.buffers, call_, *sink_, *this),
      on_done_(std::move(on_done)),
      table_(context.table),
      arrival_(context.clock.Now()),
      deadline_(arrival_) {}

ForwardRequest::~ForwardRequest() {
  context_.queue.Remove(*this);
  buffer_.Close();
  if (context_.buffers.has_limit()) {
    context_.unread_answers.Keep(call_.id, std::move(sink_));
  }
}

void ForwardRequest::Start() {
  sink_->SetClosedCallback([this] { HandleClosed(); });
  sink_->SetDrainedCallback([this] { buffer_.HandleDrained(); });
  if (!Admit()) {
    return;
  }
  if (route_->is_streaming) {
    framer_.emplace(call_.last_event_id, context_.settings.event_version_field);
  }
  context_.budget.CountRequest(service_);
  deadline_timer_ = context_.clock.RunAfter(deadline_ - arrival_,
                                            [this] { HandleTimeLimit(); });
  const WaitInfo info = MakeWaitInfo();
  const bool is_preceded = context_.queue.IsPreceded(info);
  if (!TryDispatch(!is_preceded)) {
    EnterWaitQueue();
    if (is_preceded) {
      context_.queue.Wake();
    }
  } else if (!is_done_) {
    context_.queue.CountStart(info);
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
    Refuse(ForwardRefusalType::kUnknownKey, "the caller's key is not valid");
    return false;
  }
  if (call_.prompt) {
    for (const PromptPartId& it : call_.prompt->shared_parts) {
      work_keys_.push_back(MakePartKey(it));
    }
  }
  work_keys_.push_back(MakeRequestKey(call_, workspace_));
  service_ = RouteTable::ChooseService(*route_, context_.random);
  Duration limit = route_->time_limit;
  if (call_.time_limit) {
    limit = std::min(limit, *call_.time_limit);
  }
  deadline_ = arrival_ + limit;
  if (context_.stop && arrival_ >= context_.stop->notice_end &&
      deadline_ > context_.stop->end) {
    Refuse(ForwardRefusalType::kLeaving, "this entry is stopping");
    return false;
  }
  if (context_.buffers.IsFull()) {
    ++context_.buffer_refusals;
    context_.log.Add("forward", "buffers_full")
        .Text("request", call_.id.value())
        .Number("total", context_.buffers.held().value())
        .Number("mark", context_.buffers.abort_mark().value());
    Refuse(ForwardRefusalType::kOverloaded,
           "the memory for slow readers is used up");
    return false;
  }
  return true;
}

Duration ForwardRequest::TimeLeft() const {
  return deadline_ - context_.clock.Now();
}

void ForwardRequest::OnStreamBegin(int status, const HeaderList& headers) {
  ReportConnected();
  context_.health.OnSuccess(attempt_->target().id);
  if (is_work_registered_) {
    UpdateWorkPhase(WorkPhase::kDecoding);
  }
  may_have_run_ = true;
  attempt_begun_at_ = context_.clock.Now();
  overdue_timer_.reset();
  // A resumed stream keeps the response head of its first engine.
  if (!has_begun_) {
    has_begun_ = true;
    time_to_first_event_ = context_.clock.Now() - arrival_;
    sink_->Begin(status, headers);
    buffer_.Begin();
  }
}

void ForwardRequest::OnStreamEvents(const std::string& events) {
  const MonotonicTime now = context_.clock.Now();
  if (last_event_at_) {
    longest_event_gap_ = std::max(longest_event_gap_, now - *last_event_at_);
  }
  last_event_at_ = now;
  if (is_work_registered_) {
    context_.work_tracker.RecordProgress(plan_.target.id);
  }
  if (attempt_begun_at_ &&
      now - *attempt_begun_at_ >= CrashMonitor::kProvingTime) {
    ReportAnswered();
  }
  buffer_.Write(events, framer_->last_event_id());
}

void ForwardRequest::HandleTimeLimit() {
  EndNow(ForwardRefusalType::kTimeLimitAfterSend,
         ForwardRefusalType::kTimeLimitBeforeSend, "the time limit passed");
}

void ForwardRequest::EndForStop() {
  if (!is_done_) {
    EndNow(ForwardRefusalType::kTargetFailed, ForwardRefusalType::kLeaving,
           "this entry stops");
  }
}

void ForwardRequest::EndNow(ForwardRefusalType sent,
                            ForwardRefusalType unsent,
                            std::string_view reason) {
  const bool is_sent = attempt_ != nullptr;
  EndAttempt();
  if (has_begun_) {
    sink_->Abort();
    Finish("aborted", reason);
    return;
  }
  Refuse(is_sent || may_have_run_ ? sent : unsent, reason);
}

void ForwardRequest::HandleClosed() {
  if (is_done_) {
    return;
  }
  EndAttempt();
  Finish("caller_gone", "");
}

void ForwardRequest::SetEnginePaused(bool is_paused) {
  if (attempt_) {
    attempt_->SetPaused(is_paused);
  }
}

ByteCount ForwardRequest::GetUnreadBytes() const {
  return attempt_ ? attempt_->GetUnreadBytes() : ByteCount(0);
}

void ForwardRequest::YieldBuffer() {
  sink_->Discard();
  if (!is_done_) {
    EndAttempt();
    Finish("aborted", "the caller did not read, and memory was needed");
  }
}

void ForwardRequest::InterruptAttempt() {
  if (attempt_) {
    attempt_->Interrupt(
        "the unfinished answer is large, and memory was needed");
  }
}

void ForwardRequest::AbortOrRefuse(std::string_view reason) {
  if (has_begun_) {
    sink_->Abort();
    Finish("aborted", reason);
    return;
  }
  if (may_have_run_) {
    Refuse(ForwardRefusalType::kTargetFailed, reason);
    return;
  }
  Refuse(unexecuted_sends_ > 0 ? ForwardRefusalType::kTargetDeclined
                               : ForwardRefusalType::kOverloaded,
         reason);
}

void ForwardRequest::Refuse(ForwardRefusalType type, std::string_view reason) {
  ForwardRefusal refusal;
  refusal.type = type;
  if (GuaranteesNotRun(type)) {
    refusal.retry_after = retry_after_;
    if (type == ForwardRefusalType::kOverloaded ||
        type == ForwardRefusalType::kTargetDeclined) {
      // Paused and limited targets take nothing before that.
      refusal.retry_after = std::max(
          retry_after_, GetCandidateDelay().value_or(Duration::zero()));
    } else if (type == ForwardRefusalType::kQuarantined) {
      refusal.retry_after = std::max(kRetryAfter, GetQuarantineLeft());
    }
  }
  sink_->Refuse(refusal);
  Finish(GetRefusalName(type), reason);
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
      .Number("declined", unexecuted_sends_)
      .Milliseconds("first", time_to_first_event_)
      .Milliseconds("pause", longest_event_gap_)
      .Milliseconds("total", context_.clock.Now() - arrival_)
      .Text("reason", reason);
  on_done_();
}

}  // namespace kingcupdrift
