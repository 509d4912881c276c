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
                               EventCutter* cutter,
                               const AttemptLimits& limits,
                               AttemptOwner& owner)
    : clock_(clock),
      target_(target),
      request_(request.call->id),
      cutter_(cutter),
      limits_(limits),
      owner_(owner) {
  if (cutter_ != nullptr) {
    cutter_->StartRun();
  }
  WatchSilence(limits_.first);
  call_ = targets.Send(target_, request, *this);
}

void ForwardAttempt::SetPaused(bool is_paused) {
  if (call_) {
    call_->SetPaused(is_paused);
  }
}

void ForwardAttempt::Cancel() {
  silence_timer_.reset();
  call_.reset();
}

void ForwardAttempt::OnAnswer(TargetAnswer answer) {
  answer_ = std::move(answer);
  if (!answer_.request.empty() && answer_.request != request_) {
    End(ForwardAttemptEnd::kBroken,
        "the answer belongs to request " + answer_.request.value());
    return;
  }
  is_stream_ = cutter_ != nullptr && answer_.status == kStatusOk;
  if (!is_stream_) {
    silence_timer_.reset();
  }
}

void ForwardAttempt::OnBytes(std::string_view bytes) {
  if (is_stream_) {
    HandleStreamBytes(bytes);
    return;
  }
  body_ += bytes;
  if (body_.size() > kMaxAnswerBytes) {
    End(ForwardAttemptEnd::kBroken, "the answer is too large");
  }
}

void ForwardAttempt::HandleStreamBytes(std::string_view bytes) {
  const Result<std::string> events = cutter_->Feed(bytes);
  if (!events) {
    End(ForwardAttemptEnd::kBroken, events.error().detail);
    return;
  }
  if (events->empty()) {
    return;
  }
  WatchSilence(limits_.pause);
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
    if (cutter_->HasPartialEvent()) {
      End(ForwardAttemptEnd::kBroken, "the stream ended inside an event");
      return;
    }
    if (!has_begun_) {
      has_begun_ = true;
      owner_.OnStreamBegin(answer_.status, answer_.headers);
      if (!call_) {
        return;
      }
    }
    End(ForwardAttemptEnd::kStreamEnded, "");
    return;
  }
  // A target that finds fault with the request is right for every target.
  const bool is_declined =
      answer_.is_not_run && answer_.status != kStatusBadRequest;
  End(is_declined ? ForwardAttemptEnd::kDeclined : ForwardAttemptEnd::kAnswered,
      "");
}

void ForwardAttempt::OnFailed(Error error) {
  const bool is_unsent = error.code == ErrorCode::kUnavailable;
  // A refusal that breaks off in its body is still a refusal.
  const bool is_declined = answer_.is_not_run;
  if (is_declined) {
    End(ForwardAttemptEnd::kDeclined, std::move(error.detail));
    return;
  }
  End(is_unsent ? ForwardAttemptEnd::kNotSent : ForwardAttemptEnd::kBroken,
      std::move(error.detail));
}

void ForwardAttempt::WatchSilence(Duration limit) {
  silence_timer_.reset();
  if (limit <= Duration::zero()) {
    return;
  }
  silence_timer_ = clock_.RunAfter(limit, [this] {
    End(ForwardAttemptEnd::kBroken, "the target is silent");
  });
}

void ForwardAttempt::End(ForwardAttemptEnd end, std::string detail) {
  Cancel();
  ForwardAttemptResult result;
  result.end = end;
  result.detail = std::move(detail);
  result.at_fault = answer_.at_fault;
  result.response.status = answer_.status;
  result.response.headers = std::move(answer_.headers);
  result.response.body = std::make_shared<const std::string>(std::move(body_));
  owner_.OnAttemptEnd(std::move(result));
}

}  // namespace kingcupdrift
