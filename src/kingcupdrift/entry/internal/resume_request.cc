#include "kingcupdrift/entry/internal/resume_request.h"

#include <utility>

#include "kingcupdrift/entry/internal/problems.h"

namespace kingcupdrift {
namespace {

/// Reading from the engine pauses above this amount of unsent bytes.
constexpr ByteCount kMaxUnsentBytes{262'144};

}  // namespace

ResumeRequest::ResumeRequest(EntryContext& context,
                             RequestInfo info,
                             ResumeToken token,
                             std::string encoded_token,
                             EngineAddress engine,
                             std::uint64_t received_tokens,
                             std::unique_ptr<CallerSink> sink)
    : Request(context, std::move(info), std::move(sink)),
      token_(std::move(token)),
      encoded_token_(std::move(encoded_token)),
      engine_(std::move(engine)),
      received_tokens_(received_tokens),
      session_(context.clock, context.engines, *this) {}

bool ResumeRequest::IsServedBy(const AttemptId& attempt) const {
  return !has_ended() && token_.attempt == attempt;
}

void ResumeRequest::OnStart() {
  RecordEvent(EventKind::kStreamResumed, engine_.id,
              fmt::format("from token {}", received_tokens_));
  session_.Attach(engine_, token_.attempt, received_tokens_);
}

void ResumeRequest::OnAccepted(TokenCount /*cached*/) {}

void ResumeRequest::OnChunk(const AnswerChunk& chunk) {
  BeginAnswer();
  if (sink() == nullptr) {
    return;
  }
  sink()->Write(chunk);
  if (sink()->GetUnsentBytes() > kMaxUnsentBytes) {
    session_.SetPaused(true);
  }
}

void ResumeRequest::BeginAnswer() {
  if (has_begun_answer_ || sink() == nullptr) {
    return;
  }
  has_begun_answer_ = true;
  AnswerStart start;
  start.request = id();
  start.model = token_.model;
  start.kind = token_.kind;
  start.resume_token = encoded_token_;
  start.prompt_tokens = token_.prompt_tokens;
  sink()->Begin(start);
}

void ResumeRequest::OnFinished(const AnswerEnd& end) {
  BeginAnswer();
  EndWithAnswer(end);
}

void ResumeRequest::OnResumed(std::uint64_t offset) {
  RecordEvent(EventKind::kStreamResumed, engine_.id,
              fmt::format("from token {}", offset));
}

void ResumeRequest::OnAttemptFailed(const AttemptFailure& failure) {
  Fail(ProblemType::kResumeRefused, failure.error.detail);
}

void ResumeRequest::OnDeadline() {
  session_.Stop();
  Fail(ProblemType::kDeadlineExceeded, "the time limit has passed");
}

void ResumeRequest::OnCallerDisconnected() {
  session_.Stop();
  EndSilently(Outcome::kFailed, "the caller disconnected");
}

void ResumeRequest::OnCallerWritable() {
  session_.SetPaused(false);
}

void ResumeRequest::Fail(ProblemType type, const std::string& detail) {
  Problem problem = MakeNotRunProblem(type, detail);
  // The first entry had already started the stream, so the request has run.
  problem.outcome = Outcome::kFailed;
  EndWithProblem(problem);
}

}  // namespace kingcupdrift
