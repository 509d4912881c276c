#include "kingcupdrift/net/internal/engine_stream.h"

#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/net/internal/engine_protocol.h"

namespace kingcupdrift {
namespace {

constexpr std::string_view kDone = "[DONE]";

class HttpEngineStream : public EngineStream, public HttpResponseObserver {
 public:
  HttpEngineStream(HttpClient& http,
                   HttpRequest request,
                   AttemptId attempt,
                   EngineStreamObserver& observer)
      : attempt_(std::move(attempt)), observer_(observer) {
    call_ = http.Stream(std::move(request), *this);
  }

  ~HttpEngineStream() override { *is_destroyed_ = true; }

  void SetPaused(bool is_paused) override {
    if (call_) {
      call_->SetPaused(is_paused);
    }
  }

  void OnHeaders(int status, const HeaderList&) override {
    if (!IsSuccess(status)) {
      Fail(ToEngineStatusError(status));
    }
  }

  void OnBytes(std::string_view bytes) override {
    auto events = parser_.Feed(bytes);
    if (!events) {
      Fail(std::move(events.error()));
      return;
    }
    // The observer may destroy this stream.
    const std::shared_ptr<bool> is_destroyed = is_destroyed_;
    for (const ServerSentEvent& it : *events) {
      TakeEvent(it, *is_destroyed);
      if (*is_destroyed || !call_) {
        return;
      }
    }
  }

  void OnEnd() override {
    Fail({ErrorCode::kConnectionLost, "the engine's response ended early"});
  }

  void OnError(Error error) override {
    Fail(ToEngineStreamError(std::move(error)));
  }

 private:
  void TakeEvent(const ServerSentEvent& server_event,
                 const bool& is_destroyed) {
    if (server_event.data == kDone) {
      return;
    }
    Result<EngineEvent> event = ReadEngineEvent(server_event.data);
    if (!event) {
      Fail(std::move(event.error()));
      return;
    }
    if (event->cached_tokens) {
      observer_.OnAccepted(*event->cached_tokens);
    }
    if (!is_destroyed && event->chunk.token_count > 0) {
      event->chunk.attempt = attempt_;
      observer_.OnChunk(std::move(event->chunk));
    }
    if (!is_destroyed && event->finish_reason) {
      call_.reset();
      observer_.OnFinished(*event->finish_reason, event->total_tokens);
    }
  }

  void Fail(Error error) {
    if (!call_) {
      return;
    }
    call_.reset();
    observer_.OnFailed(std::move(error));
  }

  AttemptId attempt_;
  EngineStreamObserver& observer_;
  EventStreamParser parser_;
  std::unique_ptr<HttpCall> call_;
  std::shared_ptr<bool> is_destroyed_ = std::make_shared<bool>(false);
};

class FailedStream : public EngineStream {
 public:
  FailedStream(Clock& clock, Error error, EngineStreamObserver& observer)
      : timer_(clock.RunAfter(Duration::zero(),
                              [&observer, error = std::move(error)] {
                                observer.OnFailed(error);
                              })) {}

  void SetPaused(bool) override {}

 private:
  std::unique_ptr<Timer> timer_;
};

}  // namespace

std::unique_ptr<EngineStream> CreateEngineStream(
    HttpClient& http,
    HttpRequest request,
    const AttemptId& attempt,
    EngineStreamObserver& observer) {
  return std::make_unique<HttpEngineStream>(http, std::move(request), attempt,
                                            observer);
}

std::unique_ptr<EngineStream>
CreateFailedStream(Clock& clock, Error error, EngineStreamObserver& observer) {
  return std::make_unique<FailedStream>(clock, std::move(error), observer);
}

}  // namespace kingcupdrift
