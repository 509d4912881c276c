#include "kingcupdrift/forwarding/internal/forward_request.h"

#include <algorithm>
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
      SuspectEngine(target);
      --sends_;
      ++unsent_;
      if (unsent_ > kMaxUnsent || !SendAgain(false)) {
        FailOrRefuse(result.detail);
      }
      return;
    case ForwardAttemptEnd::kBroken:
      tried_.insert(target);
      context_.health.OnFailure(target);
      SuspectEngine(target);
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
  if (at_fault != target) {
    SuspectEngine(at_fault);
  }
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

void ForwardRequest::SuspectEngine(const EngineId& engine) {
  const TargetRecord* const record = context_.directory.Find(engine);
  if (call_.prompt && record != nullptr) {
    context_.checker.Suspect(record->address);
  }
}

bool ForwardRequest::IsReadBy(const EngineId& engine) const {
  return attempt_ != nullptr && !attempt_->has_first_event() &&
         std::any_of(choice_.helpers.begin(), choice_.helpers.end(),
                     [&engine](const PromptHelper& it) {
                       return it.engine.id == engine;
                     });
}

void ForwardRequest::HandleEngineDown(const EngineId& engine) {
  if (is_done_ || !IsReadBy(engine) || !CanRepeat() || !CanSendAgain() ||
      !context_.budget.TryTake(service_, context_.entry_count)) {
    return;
  }
  context_.log.Add("forward", "reader_down")
      .Text("request", call_.id.value())
      .Text("target", choice_.target.id.value())
      .Text("reader", engine.value());
  EndAttempt();
  // The reader may have been done, and the answer on its way.
  may_have_run_ = true;
  tried_.insert(engine);
  if (!SendAgain(false)) {
    FailOrRefuse("an engine that read the prompt is down");
  }
}

bool ForwardRequest::CanRepeat() const {
  return route_->repeat == RepeatRule::kIdempotent;
}

bool ForwardRequest::CanSendAgain() {
  return sends_ < route_->max_attempts && TimeLeft() >= kMinTimeLeft &&
         !Targets().empty();
}

bool ForwardRequest::SendAgain(bool counts_as_further_send) {
  if (!CanSendAgain()) {
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
