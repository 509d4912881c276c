#include "kingcupdrift/forwarding/internal/forward_attempt.h"

#include <utility>

namespace kingcupdrift {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;

std::string DescribeForeignAnswer(const TargetResponseHead& head) {
  return "the bytes with status " + std::to_string(head.status) +
         " are no answer to this request: request ID \"" +
         head.request.value() + "\", " +
         (head.is_signed ? "signed" : "not signed") +
         (head.is_encoded ? ", encoded" : "");
}

}  // namespace

ForwardAttempt::ForwardAttempt(Clock& clock,
                               TargetClient& targets,
                               const EngineAddress& target,
                               const TargetRequest& request,
                               SseFramer* framer,
                               const AttemptTimeouts& timeouts,
                               AttemptOwner& owner)
    : clock_(clock),
      target_(target),
      request_(request.call->id),
      is_relay_(request.is_relay),
      framer_(framer),
      timeouts_(timeouts),
      owner_(owner) {
  if (framer_ != nullptr) {
    framer_->StartAttempt();
  }
  RestartTimeoutTimer(timeouts_.answer_timeout);
  call_ = targets.Send(target_, request, *this);
}

void ForwardAttempt::SetPaused(bool is_paused) {
  if (!call_) {
    return;
  }
  call_->SetPaused(is_paused);
  // No event can come meanwhile, which is not the target's fault.
  RestartTimeoutTimer(is_paused ? Duration::zero() : timeouts_.stall_timeout);
}

void ForwardAttempt::Cancel() {
  timeout_timer_.reset();
  call_.reset();
}

void ForwardAttempt::OnResponseHead(TargetResponseHead answer) {
  response_head_ = std::move(answer);
  if (!IsAnswerTo(response_head_, request_, is_relay_)) {
    // The request may have run before these bytes took its answer's place.
    End(ForwardAttemptOutcome::kInterrupted,
        DescribeForeignAnswer(response_head_));
    return;
  }
  is_stream_ = framer_ != nullptr && response_head_.status == kStatusOk &&
               !response_head_.has_other_media_type;
  if (!is_stream_) {
    timeout_timer_.reset();
  }
}

void ForwardAttempt::OnBytes(std::string_view bytes) {
  if (is_stream_) {
    HandleStreamBytes(bytes);
    return;
  }
  body_.Append(bytes);
  ReportUnfinishedBytes();
  if (body_.size() > kMaxAnswerBytes) {
    End(ForwardAttemptOutcome::kInterrupted,
        "the answer exceeds the size limit");
  }
}

void ForwardAttempt::HandleStreamBytes(std::string_view bytes) {
  const Result<std::string> events = framer_->Feed(bytes);
  if (!events) {
    End(ForwardAttemptOutcome::kInterrupted, events.error().detail);
    return;
  }
  ReportUnfinishedBytes();
  if (events->empty()) {
    return;
  }
  RestartTimeoutTimer(timeouts_.stall_timeout);
  if (!has_begun_) {
    has_begun_ = true;
    owner_.OnStreamBegin(response_head_.status, response_head_.headers);
    if (!call_) {
      return;
    }
  }
  // Nothing may follow this call: the owner may destroy this attempt.
  owner_.OnStreamEvents(*events);
}

void ForwardAttempt::OnWaitingBytes(ByteCount bytes) {
  waiting_bytes_ = static_cast<std::size_t>(bytes.value());
  ReportUnfinishedBytes();
}

void ForwardAttempt::ReportUnfinishedBytes() {
  const std::size_t event = is_stream_ ? framer_->GetPendingBytes() : 0;
  owner_.OnUnfinishedBytes(waiting_bytes_ + body_.GetCapacity() + event);
}

void ForwardAttempt::Interrupt(std::string detail) {
  End(ForwardAttemptOutcome::kInterrupted, std::move(detail));
}

void ForwardAttempt::OnEnd() {
  if (is_stream_) {
    if (framer_->HasPartialEvent()) {
      End(ForwardAttemptOutcome::kInterrupted,
          "the stream ended inside an event", true);
      return;
    }
    // The same bytes come from a resumed stream that has no further event, and
    // from an engine that stopped after the head.
    if (!has_begun_ && response_head_.ends_with_connection) {
      End(ForwardAttemptOutcome::kInterrupted,
          "the connection ended before the stream's first event", true);
      return;
    }
    if (!has_begun_) {
      has_begun_ = true;
      owner_.OnStreamBegin(response_head_.status, response_head_.headers);
      if (!call_) {
        return;
      }
    }
    End(ForwardAttemptOutcome::kStreamEnded, "");
    return;
  }
  // Every target would answer this request with status 400, so the answer is
  // passed on and another target isn't tried.
  const bool is_declined =
      response_head_.is_not_run && response_head_.status != kStatusBadRequest;
  End(is_declined ? ForwardAttemptOutcome::kDeclined
                  : ForwardAttemptOutcome::kAnswered,
      "");
}

void ForwardAttempt::OnFailed(Error error) {
  const bool is_unsent = error.code == ErrorCode::kUnavailable;
  // A refusal whose body was cut off is still a refusal.
  const bool is_declined = response_head_.is_not_run;
  if (is_declined) {
    End(ForwardAttemptOutcome::kDeclined, std::move(error.detail));
    return;
  }
  End(is_unsent ? ForwardAttemptOutcome::kNotSent
                : ForwardAttemptOutcome::kInterrupted,
      std::move(error.detail),
      error.code == ErrorCode::kUnknownEffect ||
          error.code == ErrorCode::kConnectionLost);
}

void ForwardAttempt::RestartTimeoutTimer(Duration limit) {
  timeout_timer_.reset();
  if (limit <= Duration::zero()) {
    return;
  }
  timeout_timer_ = clock_.RunAfter(limit, [this] {
    End(ForwardAttemptOutcome::kInterrupted,
        "no answer or event from the target within the timeout");
  });
}

void ForwardAttempt::End(ForwardAttemptOutcome end,
                         std::string detail,
                         bool is_connection_lost) {
  Cancel();
  ForwardAttemptResult result;
  result.end = end;
  result.detail = std::move(detail);
  result.is_connection_lost = is_connection_lost;
  result.is_from_engine =
      !response_head_.request.empty() || response_head_.is_signed;
  result.faulty_engine = response_head_.faulty_engine;
  result.response.status = response_head_.status;
  result.response.headers = std::move(response_head_.headers);
  result.response.body = std::make_shared<const std::string>(body_.Take());
  owner_.OnAttemptEnd(std::move(result));
}

}  // namespace kingcupdrift
