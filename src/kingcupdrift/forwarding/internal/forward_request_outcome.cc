#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <utility>

namespace kingcupdrift {
namespace {

constexpr int kStatusServerError = 500;

}  // namespace

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

}  // namespace kingcupdrift
