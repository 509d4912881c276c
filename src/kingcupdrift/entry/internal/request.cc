#include "kingcupdrift/entry/internal/request.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/entry/internal/request_table.h"

namespace kingcupdrift {
namespace {

EventKind GetOutcomeEventKind(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return EventKind::kRequestCompleted;
    case Outcome::kNotRun:
      return EventKind::kRequestRefused;
    case Outcome::kFailed:
      return EventKind::kRequestFailed;
    case Outcome::kUnknown:
      return EventKind::kRequestUnknown;
  }
  return EventKind::kRequestUnknown;
}

}  // namespace

Request::Request(EntryContext& context,
                 RequestInfo info,
                 std::unique_ptr<CallerSink> sink)
    : context_(context), info_(std::move(info)), sink_(std::move(sink)) {}

void Request::Start() {
  RecordEvent(EventKind::kRequestArrived, EngineId(), info_.service.id.value());
  deadline_timer_ = context_.clock.RunAfter(TimeLeft(), [this] {
    if (!has_ended_) {
      OnDeadline();
    }
  });
  OnStart();
}

void Request::HandleCallerDisconnect() {
  if (has_ended_) {
    return;
  }
  sink_.reset();
  RecordEvent(EventKind::kCallerDisconnected, EngineId(), "");
  OnCallerDisconnected();
}

Duration Request::TimeLeft() const {
  return std::max(Duration::zero(), info_.deadline - context_.clock.Now());
}

void Request::RecordEvent(EventKind kind,
                          const EngineId& engine,
                          std::string detail) {
  TimelineEvent event;
  event.kind = kind;
  event.request = info_.id;
  event.workspace = info_.workspace.id;
  event.engine = engine;
  event.detail = std::move(detail);
  context_.events.Add(std::move(event));
}

void Request::EndWithProblem(const Problem& problem) {
  if (has_ended_) {
    return;
  }
  const std::string_view name = GetProblemName(problem.type);
  if (problem.outcome == Outcome::kNotRun) {
    context_.metrics.CountRefusal(name);
  }
  if (sink_ != nullptr) {
    sink_->Fail(problem);
  }
  Close(problem.outcome, GetOutcomeEventKind(problem.outcome), name);
}

void Request::EndWithAnswer(const AnswerEnd& end) {
  if (has_ended_) {
    return;
  }
  if (sink_ != nullptr) {
    sink_->Finish(end);
  }
  Close(Outcome::kCompleted, EventKind::kRequestCompleted,
        GetFinishReasonName(end.reason));
}

void Request::EndWithReply(const ServiceResponse& response) {
  if (has_ended_) {
    return;
  }
  if (sink_ != nullptr) {
    sink_->Reply(response);
  }
  Close(Outcome::kCompleted, EventKind::kRequestCompleted,
        fmt::format("status {}", response.status));
}

void Request::EndSilently(Outcome outcome, std::string_view detail) {
  if (!has_ended_) {
    Close(outcome, GetOutcomeEventKind(outcome), detail);
  }
}

void Request::Close(Outcome outcome, EventKind kind, std::string_view detail) {
  has_ended_ = true;
  deadline_timer_.reset();
  sink_.reset();
  RecordEvent(kind, EngineId(), std::string(detail));
  context_.metrics.RecordCompletion(info_.service.id, info_.prompt_tokens,
                                    context_.clock.Now() - info_.arrival,
                                    outcome);
  context_.requests.Remove(info_.id);
}

}  // namespace kingcupdrift
