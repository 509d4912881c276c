#include "kingcupdrift/entry/internal/plain_request.h"

#include <utility>

#include "kingcupdrift/entry/internal/problems.h"
#include "kingcupdrift/entry/internal/service_load_balancer.h"
#include "kingcupdrift/entry/internal/service_policies.h"

namespace kingcupdrift {

PlainRequest::PlainRequest(EntryContext& context,
                           RequestInfo info,
                           PlainCall call,
                           std::unique_ptr<CallerSink> sink)
    : Request(context, std::move(info), std::move(sink)),
      call_(std::move(call)) {}

PlainRequest::~PlainRequest() {
  StopCall();
}

bool PlainRequest::IsServedBy(const AttemptId& attempt) const {
  return has_open_call() && attempt_ == attempt;
}

void PlainRequest::OnStart() {
  AdmissionRequest request;
  request.workspace = info().workspace.id;
  request.service = info().service.id;
  request.deadline = info().deadline;
  const auto admitted = context().admission.Admit(request);
  if (!admitted) {
    EndWithProblem(ProblemFromRefusal(admitted.error()));
    return;
  }
  context().admission.OnStarted(request);
  context().policies.GetRetryBudget(info().service.id).OnFirstTry();
  OnAdmitted();
}

bool PlainRequest::Send(const AttemptId& attempt, bool needs_new_connection) {
  target_ = context().load_balancer.Choose(info().service.id, excluded_);
  if (!target_) {
    return false;
  }
  attempt_ = attempt;
  ServiceRequest request;
  request.request = id();
  request.attempt = attempt;
  request.method = call_.method;
  request.target = call_.target;
  request.headers = call_.headers;
  request.body = call_.body;
  request.idempotency_key = call_.context.idempotency_key;
  request.needs_new_connection = needs_new_connection;
  request.time_left = TimeLeft();
  context().load_balancer.OnSent(target_->id);
  RecordEvent(EventKind::kRequestDispatched, target_->id, attempt.value());
  service_call_ = context().services.Call(
      *target_, request, [this](Result<ServiceResponse> answer) {
        OnCallEnded(std::move(answer));
      });
  return true;
}

void PlainRequest::OnCallEnded(Result<ServiceResponse> answer) {
  const EngineAddress target = *target_;
  target_.reset();
  context().load_balancer.OnEnded(info().service.id, target.id, !answer);
  OnAnswer(target, std::move(answer));
}

void PlainRequest::StopCall() {
  service_call_.reset();
  if (target_) {
    context().load_balancer.OnEnded(info().service.id, target_->id, false);
    target_.reset();
  }
}

}  // namespace kingcupdrift
