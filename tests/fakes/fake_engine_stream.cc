#include "tests/fakes/fake_engine_stream.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift::fakes {

FakeEngineStream::FakeEngineStream(EngineId engine,
                                   AttemptId attempt,
                                   Duration latency,
                                   EngineFleet& fleet,
                                   Clock& clock,
                                   EngineStreamObserver& observer)
    : engine_(std::move(engine)),
      attempt_(std::move(attempt)),
      latency_(latency),
      fleet_(fleet),
      clock_(clock),
      observer_(observer),
      opening_epoch_(fleet.FaultEpoch(engine_)),
      deliveries_(clock),
      is_open_(std::make_shared<bool>(true)) {}

FakeEngineStream::~FakeEngineStream() {
  *is_open_ = false;
  fleet_.Disconnect(engine_, *this);
  if (EngineModel* model = fleet_.Find(engine_)) {
    model->Detach(attempt_, this);
  }
}

bool FakeEngineStream::IsDropping(bool EngineLinkFault::*direction) {
  const EngineLinkFault& fault = fleet_.fault(engine_);
  const bool is_new = opening_epoch_ == fleet_.FaultEpoch(engine_);
  return fault.*direction && !(fault.affects_only_open_streams && is_new);
}

void FakeEngineStream::Open(Opening opening) {
  if (fleet_.fault(engine_).is_down || fleet_.Find(engine_) == nullptr) {
    FailLocally({ErrorCode::kUnavailable, "connection refused"});
    return;
  }
  if (IsDropping(&EngineLinkFault::drops_messages_to_engine)) {
    return;
  }
  fleet_.Connect(engine_, *this);
  const Duration delay = latency_ + fleet_.fault(engine_).delay;
  fleet_.in_flight().Post(
      delay, [this, &fleet = fleet_, engine = engine_, is_open = is_open_,
              opening = std::move(opening)] {
        if (*is_open) {
          OnArrival(opening);
          return;
        }
        EngineModel* model = fleet.Find(engine);
        if (model != nullptr && !fleet.fault(engine).is_down) {
          (void)opening(*model, nullptr);
        }
      });
}

void FakeEngineStream::OnArrival(const Opening& opening) {
  if (fleet_.fault(engine_).is_down) {
    return;
  }
  const Result<TokenCount> opened = opening(*fleet_.Find(engine_), this);
  if (opened) {
    OnAccepted(*opened);
  } else {
    OnFailed(opened.error());
  }
}

void FakeEngineStream::Deliver(std::function<void()> event) {
  is_lost_ |= IsDropping(&EngineLinkFault::drops_messages_from_engine);
  if (is_lost_) {
    return;
  }
  const MonotonicTime now = clock_.Now();
  last_delivery_ =
      std::max(last_delivery_, now + latency_ + fleet_.fault(engine_).delay);
  deliveries_.Post(last_delivery_ - now, std::move(event));
}

void FakeEngineStream::FailLocally(Error error) {
  deliveries_.Post(latency_, [this, error = std::move(error)] {
    observer_.OnFailed(error);
  });
}

void FakeEngineStream::SetPaused(bool is_paused) {
  if (EngineModel* model = fleet_.Find(engine_)) {
    model->SetPaused(attempt_, this, is_paused);
  }
}

void FakeEngineStream::OnAccepted(TokenCount cached) {
  Deliver([this, cached] { observer_.OnAccepted(cached); });
}

void FakeEngineStream::OnChunk(EngineChunk chunk) {
  Deliver([this, chunk = std::move(chunk)] { observer_.OnChunk(chunk); });
}

void FakeEngineStream::OnFinished(FinishReason reason,
                                  std::uint64_t total_tokens) {
  Deliver([this, reason, total_tokens] {
    observer_.OnFinished(reason, total_tokens);
  });
}

void FakeEngineStream::OnFailed(Error error) {
  Deliver([this, error = std::move(error)] { observer_.OnFailed(error); });
}

void FakeEngineStream::OnLinkDown() {
  if (EngineModel* model = fleet_.Find(engine_)) {
    model->Detach(attempt_, this);
  }
  if (!is_lost_) {
    is_lost_ = true;
    FailLocally({ErrorCode::kConnectionLost, "connection broke"});
  }
}

}  // namespace kingcupdrift::fakes
