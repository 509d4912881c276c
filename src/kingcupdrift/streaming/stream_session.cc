#include "kingcupdrift/streaming/stream_session.h"

#include <utility>

namespace kingcupdrift {
namespace {

bool IsDeclined(ErrorCode code) {
  return code == ErrorCode::kRefused || code == ErrorCode::kOverloaded;
}

bool IsResumable(ErrorCode code) {
  return code == ErrorCode::kConnectionLost ||
         code == ErrorCode::kDeadlineExceeded ||
         code == ErrorCode::kUnknownEffect || code == ErrorCode::kProtocol;
}

}  // namespace

StreamSession::StreamSession(Clock& clock,
                             EngineClient& engines,
                             StreamSessionObserver& observer,
                             StreamLimits limits)
    : clock_(clock),
      engines_(engines),
      observer_(observer),
      limits_(limits),
      answer_(limits.reassembler),
      lifetime_token_(std::make_shared<bool>(true)) {}

StreamSession::~StreamSession() {
  Stop();
}

void StreamSession::StartAttempt(const EngineAddress& engine,
                                 EngineStreamRequest request,
                                 std::optional<Duration> first_token_timeout) {
  Stop();
  answer_.StartAttempt(request.attempt);
  request.emitted_text = answer_.emitted_text();
  request.emitted_tokens = answer_.emitted_tokens();
  engine_ = engine;
  first_token_timeout_ =
      first_token_timeout.value_or(limits_.first_token_timeout);
  is_accepted_ = false;
  has_progress_ = false;
  resumes_without_progress_ = 0;
  stream_ = engines_.Start(engine, request, *this);
  stream_->SetPaused(is_paused_);
  ArmTimer();
}

void StreamSession::Attach(const EngineAddress& engine,
                           const AttemptId& attempt,
                           std::uint64_t offset) {
  Stop();
  answer_.StartAttemptAt(attempt, offset);
  engine_ = engine;
  first_token_timeout_ = limits_.first_token_timeout;
  is_accepted_ = true;
  has_progress_ = false;
  resumes_without_progress_ = 0;
  stream_ = engines_.Resume(engine, attempt, offset, *this);
  stream_->SetPaused(is_paused_);
  ArmTimer();
}

void StreamSession::SetPaused(bool is_paused) {
  is_paused_ = is_paused;
  if (stream_) {
    stream_->SetPaused(is_paused);
  }
  ArmTimer();
}

void StreamSession::Stop() {
  CloseStream();
  CancelAttempt();
}

void StreamSession::Detach() {
  CloseStream();
  engine_.reset();
}

void StreamSession::CloseStream() {
  progress_timer_.reset();
  stream_.reset();
}

void StreamSession::CancelAttempt() {
  if (!engine_) {
    return;
  }
  // If the cancellation is lost, the engine's timeout or a sweep frees the
  // work.
  engines_.Cancel(*engine_, answer_.attempt(), [](const Result<void>&) {});
  engine_.reset();
}

void StreamSession::ArmTimer() {
  progress_timer_.reset();
  if (is_paused_ || !stream_) {
    return;
  }
  const Duration timeout =
      has_progress_ ? limits_.progress_timeout : first_token_timeout_;
  progress_timer_ = clock_.RunAfter(timeout, [this] {
    Resume(
        Error{ErrorCode::kDeadlineExceeded, "no new token within the timeout"});
  });
}

void StreamSession::Resume(Error cause) {
  CloseStream();
  if (resumes_without_progress_ >= limits_.max_resumes) {
    FailAttempt(std::move(cause));
    return;
  }
  ++resumes_without_progress_;
  answer_.DropBuffered();
  const std::uint64_t offset = answer_.emitted_tokens();
  stream_ = engines_.Resume(*engine_, answer_.attempt(), offset, *this);
  stream_->SetPaused(is_paused_);
  ArmTimer();
  observer_.OnResumed(offset);
}

void StreamSession::FailAttempt(Error error) {
  CloseStream();
  AttemptFailure failure;
  failure.engine = engine_->id;
  failure.attempt = answer_.attempt();
  failure.is_declined = !is_accepted_ && IsDeclined(error.code);
  const bool is_never_sent = !is_accepted_ &&
                             error.code == ErrorCode::kUnavailable &&
                             resumes_without_progress_ == 0;
  failure.may_have_run = !failure.is_declined && !is_never_sent;
  failure.can_fail_over = answer_.first_token() == 0;
  failure.error = std::move(error);
  if (failure.may_have_run) {
    CancelAttempt();
  }
  engine_.reset();
  observer_.OnAttemptFailed(failure);
}

bool StreamSession::Deliver(const std::vector<AnswerChunk>& chunks) {
  const std::weak_ptr<bool> guard = lifetime_token_;
  for (const AnswerChunk& chunk : chunks) {
    observer_.OnChunk(chunk);
    if (guard.expired() || !engine_) {
      return false;
    }
  }
  return true;
}

void StreamSession::OnAccepted(TokenCount cached) {
  ArmTimer();
  if (!is_accepted_) {
    is_accepted_ = true;
    observer_.OnAccepted(cached);
  }
}

void StreamSession::OnChunk(EngineChunk chunk) {
  const AcceptResult result = answer_.Accept(std::move(chunk));
  if (!result.ready.empty()) {
    is_accepted_ = true;
    has_progress_ = true;
    resumes_without_progress_ = 0;
    ArmTimer();
  }
  if (!Deliver(result.ready)) {
    return;
  }
  if (result.status == AcceptStatus::kPartialOverlap ||
      result.status == AcceptStatus::kOverflow ||
      result.status == AcceptStatus::kMalformed) {
    Resume(Error{ErrorCode::kProtocol,
                 "a chunk is malformed, overlaps delivered tokens or exceeds "
                 "the buffer"});
  }
}

void StreamSession::OnFinished(FinishReason reason,
                               std::uint64_t total_tokens) {
  if (total_tokens > answer_.emitted_tokens()) {
    Resume(Error{ErrorCode::kProtocol,
                 "the stream ended before all its tokens arrived"});
    return;
  }
  if (total_tokens < answer_.emitted_tokens()) {
    FailAttempt(
        Error{ErrorCode::kProtocol,
              "the engine reported fewer tokens in total than were delivered"});
    return;
  }
  CloseStream();
  engine_.reset();
  observer_.OnFinished(AnswerEnd{reason, total_tokens});
}

void StreamSession::OnFailed(Error error) {
  const bool is_resuming = resumes_without_progress_ > 0;
  // While a resumption is under way, that the engine is unavailable may pass.
  const bool may_become_reachable =
      is_resuming && error.code == ErrorCode::kUnavailable;
  if (IsResumable(error.code) || may_become_reachable) {
    Resume(std::move(error));
  } else {
    FailAttempt(std::move(error));
  }
}

}  // namespace kingcupdrift
