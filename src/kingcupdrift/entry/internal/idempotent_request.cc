#include "kingcupdrift/entry/internal/idempotent_request.h"

#include <utility>

#include "kingcupdrift/entry/internal/problems.h"
#include "kingcupdrift/entry/internal/service_policies.h"

namespace kingcupdrift {

void IdempotentRequest::OnAdmitted() {
  SendAttempt();
}

void IdempotentRequest::SendAttempt() {
  const AttemptId attempt(context().random.GenerateToken());
  if (Send(attempt, retries_ > 0)) {
    return;
  }
  if (excluded().empty()) {
    Fail(ProblemType::kNoEngine, "no engine of the service is usable");
    return;
  }
  // No other engine is usable: retry those that failed this request.
  excluded().clear();
  SendAttempt();
}

void IdempotentRequest::OnAnswer(const EngineAddress& target,
                                 Result<ServiceResponse> answer) {
  if (answer) {
    EndWithReply(*answer);
    return;
  }
  const Error& error = answer.error();
  may_have_run_ = may_have_run_ || error.code != ErrorCode::kUnavailable;
  excluded().push_back(target.id);
  if (may_have_run_ && !IsRepeatable()) {
    Fail(ProblemType::kEngineFailed, error.detail);
    return;
  }
  RetryBudget& budget = context().policies.GetRetryBudget(info().service.id);
  if (!budget.TakeRetry()) {
    Fail(ProblemType::kEngineFailed, error.detail);
    return;
  }
  ++retries_;
  context().metrics.CountRetry(info().service.id);
  RecordEvent(EventKind::kRequestRetried, target.id, error.detail);
  retry_timer_ = context().clock.RunAfter(
      ComputeRetryDelay(retries_, context().random), [this] { SendAttempt(); });
}

bool IdempotentRequest::IsRepeatable() const {
  return call().method != "POST" && call().method != "PATCH";
}

void IdempotentRequest::OnDeadline() {
  may_have_run_ = may_have_run_ || has_open_call();
  Fail(ProblemType::kDeadlineExceeded, "the time limit has passed");
}

void IdempotentRequest::OnCallerDisconnected() {
  may_have_run_ = may_have_run_ || has_open_call();
  retry_timer_.reset();
  StopCall();
  EndSilently(may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun,
              "the caller disconnected");
}

void IdempotentRequest::Fail(ProblemType type, const std::string& detail) {
  retry_timer_.reset();
  StopCall();
  Problem problem = MakeNotRunProblem(type, detail);
  problem.outcome = may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun;
  EndWithProblem(problem);
}

}  // namespace kingcupdrift
