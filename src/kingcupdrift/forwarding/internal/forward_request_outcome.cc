#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kingcupdrift {
namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusServerError = 500;

/// Whether callers take the status as the statement that the request has not
/// run and will not, whoever sent it.
bool PromisesNotRun(int status) {
  constexpr std::array<int, 4> kStatuses = {408, 421, 429, 503};
  return std::find(kStatuses.begin(), kStatuses.end(), status) !=
         kStatuses.end();
}

}  // namespace

void ForwardRequest::OnAttemptEnd(ForwardAttemptResult result) {
  const EngineId target = attempt_->target().id;
  EndAttempt();
  switch (result.end) {
    case ForwardAttemptOutcome::kStreamEnded:
      ReportAnswered();
      sink_->End();
      Finish("completed", "");
      return;
    case ForwardAttemptOutcome::kAnswered: {
      if (plan_.is_relay) {
        HandleRelayedAnswer(result);
        return;
      }
      may_have_run_ = true;
      ReportConnected();
      const int status = result.response.status;
      if (PromisesNotRun(status) && !IsIdempotent()) {
        RefuseUnconfirmed(target, status);
        return;
      }
      const bool has_failed = status >= kStatusServerError;
      // A stream that has begun takes only its continuation.
      if ((has_failed || has_begun_) && IsIdempotent()) {
        excluded_targets_.insert(target);
        if (TryRetry(true)) {
          return;
        }
      }
      if (has_begun_) {
        // The engine that should resume the stream sent another kind of answer.
        AbortOrRefuse("the stream could not be resumed");
        return;
      }
      if (!has_failed && !PromisesNotRun(status)) {
        context_.health.OnSuccess(target);
        ReportAnswered();
      }
      sink_->Reply(result.response);
      Finish(has_failed ? "target_error" : "completed", "");
      return;
    }
    case ForwardAttemptOutcome::kDeclined:
      HandleDeclined(result);
      return;
    case ForwardAttemptOutcome::kNotSent:
      HandleNotSent(result);
      return;
    case ForwardAttemptOutcome::kInterrupted:
      HandleInterrupted(result);
      return;
  }
}

void ForwardRequest::ReportConnected() {
  if (!plan_.is_relay) {
    context_.reachability.OnAnswer(attempt_sent_at_);
    context_.crash_monitor.OnEngineAnswered(plan_.target, attempt_sent_at_);
  }
}

void ForwardRequest::HandleNotSent(const ForwardAttemptResult& result) {
  const EngineId target = plan_.target.id;
  excluded_targets_.insert(target);
  if (!plan_.is_relay) {
    context_.health.OnFailure(target);
    context_.reachability.OnConnectFailure(target);
    SuspectEngine(target);
  }
  --sends_;
  ++unexecuted_sends_;
  if (unexecuted_sends_ > kMaxUnexecutedSends || !TryRetry(false)) {
    AbortOrRefuse(result.detail);
  }
}

void ForwardRequest::HandleRelayedAnswer(const ForwardAttemptResult& result) {
  if (has_begun_) {
    AbortOrRefuse("the stream could not be resumed");
    return;
  }
  if (PromisesNotRun(result.response.status)) {
    if (may_have_run_) {
      Refuse(ForwardRefusalType::kTargetFailed,
             "the request may have run before another entry refused it");
      return;
    }
    // Entries of earlier versions pass on refusals of engines that may have run
    // the request.
    if (result.is_from_engine && !IsIdempotent()) {
      RefuseUnconfirmed(plan_.target.id, result.response.status);
      return;
    }
  }
  // A client error may be the other entry's own.
  if (result.response.status < kStatusBadRequest) {
    ReportAnswered();
  }
  sink_->Reply(result.response);
  Finish(result.response.status >= kStatusServerError ? "target_error"
                                                      : "completed",
         "");
}

void ForwardRequest::RefuseUnconfirmed(const EngineId& target, int status) {
  may_have_run_ = true;
  ++context_.unconfirmed_refusals;
  context_.log.Add("forward", "unconfirmed_refusal")
      .Text("request", call_.id.value())
      .Text("target", target.value())
      .Number("status", status);
  AbortOrRefuse(
      "the target refused the request without the statement that it has not "
      "run");
}

Duration ForwardRequest::GetQuarantineLeft() const {
  return context_.crash_monitor.GetQuarantineLeft(work_keys_);
}

void ForwardRequest::HandleQuarantined() {
  constexpr std::string_view kReason =
      "the request, or a part of its prompt, crashes engines";
  if (has_begun_ || may_have_run_) {
    AbortOrRefuse(kReason);
  } else {
    Refuse(ForwardRefusalType::kQuarantined, kReason);
  }
}

void ForwardRequest::ReportAnswered() {
  if (!std::exchange(is_attempt_proven_, true)) {
    context_.crash_monitor.OnAnswered(work_keys_);
  }
}

void ForwardRequest::HandleDeclined(const ForwardAttemptResult& result) {
  const EngineId target = plan_.target.id;
  const EngineId faulty_engine = FindFaultyEngine(result);
  context_.log.Add("forward", "declined")
      .Text("request", call_.id.value())
      .Text("target", target.value())
      .Text("at_fault", faulty_engine.value())
      .Number("status", result.response.status);
  ReportConnected();
  if (!plan_.is_relay && result.response.status == kStatusMisdirected) {
    context_.rate_limiter.ReturnRequest(target, counted_at_);
  }
  excluded_targets_.insert(faulty_engine);
  if (!plan_.is_relay) {
    context_.health.OnFailure(faulty_engine);
  }
  if (faulty_engine != target) {
    SuspectEngine(faulty_engine);
  }
  --sends_;
  ++unexecuted_sends_;
  if (unexecuted_sends_ > kMaxUnexecutedSends || !TryRetry(true)) {
    AbortOrRefuse("a target declined the request and no retry was possible");
  }
}

EngineId ForwardRequest::FindFaultyEngine(
    const ForwardAttemptResult& result) const {
  for (const PrefillHelper& it : plan_.helpers) {
    if (it.engine.endpoint == result.faulty_engine) {
      return it.engine.id;
    }
  }
  return plan_.target.id;
}

void ForwardRequest::HandleInterrupted(const ForwardAttemptResult& result) {
  const EngineAddress target = ended_attempts_.back()->target();
  excluded_targets_.insert(target.id);
  if (!plan_.is_relay) {
    context_.health.OnFailure(target.id);
    if (result.is_connection_lost && !is_attempt_proven_) {
      context_.crash_monitor.OnInterrupted(target, work_keys_);
    }
    SuspectEngine(target.id);
    if (result.is_connection_lost) {
      context_.checker.CheckSuspect(target);
    }
  }
  may_have_run_ = true;
  ++(attempt_begun_at_ ? context_.interrupted_streams
                       : context_.interrupted_before_first_event);
  context_.log.Add("forward", "broken")
      .Text("request", call_.id.value())
      .Text("target", target.id.value())
      .Number("events",
              framer_ && framer_->last_event_id()
                  ? static_cast<std::int64_t>(*framer_->last_event_id())
                  : 0)
      .Milliseconds("streamed", attempt_begun_at_
                                    ? context_.clock.Now() - *attempt_begun_at_
                                    : Duration::zero())
      .Text("parts", JoinSharedParts())
      .Text("work", work_keys_.back().value())
      .Text("cause", result.detail);
  if (!IsIdempotent() || !TryRetry(true)) {
    AbortOrRefuse(result.detail);
  }
}

void ForwardRequest::SuspectEngine(const EngineId& engine) {
  const TargetRecord* const record = context_.directory.Find(engine);
  if (call_.prompt && record != nullptr) {
    context_.checker.ReportSuspect(record->address);
  }
}

bool ForwardRequest::IsWaitingForHelper(const EngineId& engine) const {
  return attempt_ != nullptr && !attempt_->has_first_event() &&
         std::any_of(plan_.helpers.begin(), plan_.helpers.end(),
                     [&engine](const PrefillHelper& it) {
                       return it.engine.id == engine;
                     });
}

void ForwardRequest::HandleEngineDown(const EngineId& engine) {
  if (is_done_ || !IsWaitingForHelper(engine) || !IsIdempotent() ||
      !CanRetry() || !context_.budget.TryTake(service_, context_.entry_count)) {
    return;
  }
  context_.log.Add("forward", "reader_down")
      .Text("request", call_.id.value())
      .Text("target", plan_.target.id.value())
      .Text("reader", engine.value());
  EndAttempt();
  // The helper may have finished its part before it died, so the request may
  // have run.
  may_have_run_ = true;
  excluded_targets_.insert(engine);
  if (!TryRetry(false)) {
    AbortOrRefuse("a prefill helper of the prompt is down");
  }
}

bool ForwardRequest::IsIdempotent() const {
  return route_->retry_safety == RetrySafety::kIdempotent;
}

bool ForwardRequest::CanRetry() {
  return sends_ < route_->max_attempts &&
         (!has_begun_ || framer_->CanResume()) &&
         (ChooseRelayPeer() || HasCandidateInTime());
}

bool ForwardRequest::TryRetry(bool consumes_retry_budget) {
  if (!CanRetry()) {
    return false;
  }
  if (consumes_retry_budget &&
      !context_.budget.TryTake(service_, context_.entry_count)) {
    return false;
  }
  if (!TryDispatch(true)) {
    EnterWaitQueue();
  }
  return true;
}

}  // namespace kingcupdrift
