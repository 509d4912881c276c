#include "kingcupdrift/entry/internal/non_idempotent_request.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/entry/internal/problems.h"
#include "kingcupdrift/entry/internal/request_table.h"

namespace kingcupdrift {
namespace {

/// Time before the deadline that is reserved for writing a tombstone.
constexpr Duration kTombstoneWriteReserve = std::chrono::milliseconds(500);

}  // namespace

NonIdempotentRequest::NonIdempotentRequest(EntryContext& context,
                                           RequestInfo info,
                                           PlainCall call,
                                           IdempotencyKey key,
                                           std::unique_ptr<CallerSink> sink)
    : PlainRequest(context, std::move(info), std::move(call), std::move(sink)),
      key_(std::move(key)),
      attempt_(context.random.GenerateToken()) {}

void NonIdempotentRequest::OnAdmitted() {
  state_ = State::kWritingIntent;
  BeginRequest request;
  request.key = key_;
  request.fingerprint = ComputeFingerprint();
  request.attempt = attempt_;
  request.window = info().service.idempotency_window;
  request.run_until = context().clock.WallNow() + TimeLeft();
  request.deadline = info().deadline - kTombstoneWriteReserve;
  // The request may have ended when the journal calls back.
  const RequestId self = id();
  RequestTable& requests = context().requests;
  context().journal.Begin(
      std::move(request),
      [this, self, &requests](const BeginResult& begin_result) {
        if (requests.Find(self) == this) {
          OnBeginResult(begin_result);
        }
      });
}

void NonIdempotentRequest::OnBeginResult(const BeginResult& begin_result) {
  if (state_ != State::kWritingIntent) {
    return;
  }
  if (begin_result.status == BeginStatus::kStarted) {
    RecordEvent(EventKind::kIntentWritten, EngineId(), attempt_.value());
    SendToEngine();
    return;
  }
  state_ = State::kEnded;
  if (begin_result.status == BeginStatus::kAlreadyCompleted &&
      begin_result.result) {
    ReplyWithStoredResult(*begin_result.result);
    return;
  }
  EndWithProblem(ProblemFromBegin(begin_result.status));
}

void NonIdempotentRequest::ReplyWithStoredResult(const StoredResult& result) {
  ServiceResponse response;
  response.status = result.status;
  response.headers.emplace_back("Idempotency-Replayed", "true");
  if (!result.content_type.empty()) {
    response.headers.emplace_back("Content-Type", result.content_type);
  }
  response.body =
      std::make_shared<const std::string>(result.body.value_or(std::string()));
  EndWithReply(response);
}

void NonIdempotentRequest::SendToEngine() {
  state_ = State::kSending;
  if (TimeLeft() <= kTombstoneWriteReserve) {
    Abandon(ProblemType::kDeadlineExceeded, "the time limit has passed");
    return;
  }
  if (!Send(attempt_, true)) {
    Abandon(ProblemType::kNoEngine, "no engine of the service is usable");
  }
}

void NonIdempotentRequest::OnAnswer(const EngineAddress& target,
                                    Result<ServiceResponse> answer) {
  if (answer) {
    Complete(*answer);
    return;
  }
  if (answer.error().code == ErrorCode::kUnavailable) {
    // Nothing was sent, so the same attempt may go to another engine.
    excluded().push_back(target.id);
    SendToEngine();
    return;
  }
  EndUnknown(ProblemType::kEngineFailed, answer.error().detail);
}

void NonIdempotentRequest::Complete(const ServiceResponse& response) {
  state_ = State::kEnded;
  StoredResult result;
  result.status = response.status;
  result.content_type =
      std::string(FindHeader(response.headers, "Content-Type"));
  if (response.body != nullptr) {
    result.body = *response.body;
  }
  context().journal.Complete(key_, attempt_, std::move(result),
                             [](const Result<void>&) {});
  EndWithReply(response);
}

void NonIdempotentRequest::Abandon(ProblemType type,
                                   const std::string& detail) {
  state_ = State::kWritingTombstone;
  const RequestId self = id();
  RequestTable& requests = context().requests;
  context().journal.Abandon(
      key_, attempt_, info().deadline,
      [this, self, &requests, type, detail](const Result<void>& written) {
        if (requests.Find(self) != this) {
          return;
        }
        state_ = State::kEnded;
        Problem problem = MakeNotRunProblem(type, detail);
        if (written) {
          RecordEvent(EventKind::kIntentTombstoned, EngineId(),
                      attempt_.value());
        } else {
          problem.outcome = Outcome::kUnknown;
        }
        EndWithProblem(problem);
      });
}

void NonIdempotentRequest::EndUnknown(ProblemType type,
                                      const std::string& detail) {
  state_ = State::kEnded;
  StopCall();
  context().journal.MarkUnknown(key_, attempt_, [](const Result<void>&) {});
  Problem problem = MakeNotRunProblem(type, detail);
  problem.outcome = Outcome::kUnknown;
  EndWithProblem(problem);
}

void NonIdempotentRequest::OnDeadline() {
  const std::string detail = "the time limit has passed";
  if (state_ == State::kSending) {
    EndUnknown(ProblemType::kDeadlineExceeded, detail);
    return;
  }
  if (state_ == State::kWritingIntent) {
    context().journal.CancelBegin(key_, attempt_);
  }
  state_ = State::kEnded;
  Problem problem = MakeNotRunProblem(ProblemType::kDeadlineExceeded, detail);
  problem.outcome = Outcome::kUnknown;
  EndWithProblem(problem);
}

void NonIdempotentRequest::OnCallerDisconnected() {
  if (state_ == State::kWritingIntent) {
    context().journal.CancelBegin(key_, attempt_);
    state_ = State::kEnded;
    EndSilently(Outcome::kNotRun, "the caller disconnected");
  }
  // A call already sent runs on to its reply, which the journal stores for
  // repeated calls.
}

std::uint64_t NonIdempotentRequest::ComputeFingerprint() const {
  std::uint64_t hash = FastHash(call().method);
  hash = FastHash(call().target, hash);
  if (call().body != nullptr) {
    hash = FastHash(*call().body, hash);
  }
  return hash;
}

}  // namespace kingcupdrift
