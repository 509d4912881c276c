#include "kingcupdrift/forwarding/internal/forward_attempt.h"

#include <utility>

namespace kingcupdrift {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;

}  // namespace

ForwardAttempt::ForwardAttempt(Clock& clock,
                               TargetClient& targets,
                               const EngineAddress& target,
                               const TargetRequest& request,
                               SseFramer* framer,
                               const AttemptTimeouts& limits,
                               AttemptOwner& owner)
    : clock_(clock),
      target_(target),
      request_(request.call->id),
      framer_(framer),
      limits_(limits),
      owner_(owner) {
  if (framer_ != nullptr) {
    framer_->StartAttempt();
  }
  RestartTimeoutTimer(limits_.answer_timeout);
  call_ = targets.Send(target_, request, *this);
}

void ForwardAttempt::SetPaused(bool is_paused) {
  if (call_) {
    call_->SetPaused(is_paused);
  }
}

void ForwardAttempt::Cancel() {
  timeout_timer_.reset();
  call_.reset();
}

void ForwardAttempt::OnResponseHead(TargetResponseHead answer) {
  answer_ = std::move(answer);
  if (!answer_.request.empty() && answer_.request != request_) {
    End(ForwardAttemptOutcome::kInterrupted,
        "the answer belongs to request " + answer_.request.value());
    return;
  }
  is_stream_ = framer_ != nullptr && answer_.status == kStatusOk;
  if (!is_stream_) {
    timeout_timer_.reset();
  }
}

void ForwardAttempt::OnBytes(std::string_view bytes) {
  if (is_stream_) {
    HandleStreamBytes(bytes);
    return;
  }
  body_ += bytes;
  if (body_.size() > kMaxAnswerBytes) {
    End(ForwardAttemptOutcome::kInterrupted, "the answer is too large");
  }
}

void ForwardAttempt::HandleStreamBytes(std::string_view bytes) {
  const Result<std::string> events = framer_->Feed(bytes);
  if (!events) {
    End(ForwardAttemptOutcome::kInterrupted, events.error().detail);
    return;
  }
  if (events->empty()) {
    return;
  }
  RestartTimeoutTimer(limits_.stall_timeout);
  if (!has_begun_) {
    has_begun_ = true;
    owner_.OnStreamBegin(answer_.status, answer_.headers);
    if (!call_) {
      return;
    }
  }
  // The last line: the owner may destroy this attempt.
  owner_.OnStreamEvents(*events);
}

void ForwardAttempt::OnEnd() {
  if (is_stream_) {
    if (framer_->HasPartialEvent()) {
      End(ForwardAttemptOutcome::kInterrupted,
          "the stream ended inside an event");
      return;
    }
    if (!has_begun_) {
      has_begun_ = true;
      owner_.OnStreamBegin(answer_.status, answer_.headers);
      if (!call_) {
        return;
      }
    }
    End(ForwardAttemptOutcome::kStreamEnded, "");
    return;
  }
  // A target that finds fault with the request is right for every target.
  const bool is_declined =
      answer_.is_not_run && answer_.status != kStatusBadRequest;
  End(is_declined ? ForwardAttemptOutcome::kDeclined
                  : ForwardAttemptOutcome::kAnswered,
      "");
}

void ForwardAttempt::OnFailed(Error error) {
  const bool is_unsent = error.code == ErrorCode::kUnavailable;
  // A refusal that breaks off in its body is still a refusal.
  const bool is_declined = answer_.is_not_run;
  if (is_declined) {
    End(ForwardAttemptOutcome::kDeclined, std::move(error.detail));
    return;
  }
  End(is_unsent ? ForwardAttemptOutcome::kNotSent
                : ForwardAttemptOutcome::kInterrupted,
      std::move(error.detail));
}

void ForwardAttempt::RestartTimeoutTimer(Duration limit) {
  timeout_timer_.reset();
  if (limit <= Duration::zero()) {
    return;
  }
  timeout_timer_ = clock_.RunAfter(limit, [this] {
    End(ForwardAttemptOutcome::kInterrupted, "the target is silent");
  });
}

void ForwardAttempt::End(ForwardAttemptOutcome end, std::string detail) {
  Cancel();
  ForwardAttemptResult result;
  result.end = end;
  result.detail = std::move(detail);
  result.faulty_engine = answer_.faulty_engine;
  result.response.status = answer_.status;
  result.response.headers = std::move(answer_.headers);
  result.response.body = std::make_shared<const std::string>(std::move(body_));
  owner_.OnAttemptEnd(std::move(result));
}

}  // namespace kingcupdrift
