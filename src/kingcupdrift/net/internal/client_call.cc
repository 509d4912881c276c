#include "kingcupdrift/net/internal/client_call.h"

#include <utility>

namespace kingcupdrift {
namespace {

constexpr int kFirstErrorStatus = 400;

class ClientCall : public HttpCall, public ConnectionDelegate {
 public:
  ClientCall(ConnectionPool& pool,
             HttpRequest request,
             HttpResponseObserver& observer)
      : pool_(pool), request_(std::move(request)), observer_(observer) {
    start_timer_ =
        pool_.clock().RunAfter(Duration::zero(), [this] { Begin(); });
  }

  ~ClientCall() override { DiscardConnection(); }

  void SetPaused(bool is_paused) override {
    is_paused_ = is_paused;
    last_progress_ = pool_.clock().Now();
    if (connection_ && has_headers_) {
      connection_->SetPaused(is_paused);
    }
  }

  ByteCount GetUnreadBytes() const override {
    return connection_ ? connection_->GetUnreadBytes() : ByteCount(0);
  }

  void HandleHeaders(int status, const HeaderList& headers) override {
    has_headers_ = true;
    status_ = status;
    last_progress_ = pool_.clock().Now();
    if (is_paused_) {
      connection_->SetPaused(true);
    }
    observer_.OnHeaders(status, headers);
  }

  void HandleBytes(std::string_view bytes) override {
    last_progress_ = pool_.clock().Now();
    observer_.OnBytes(bytes);
  }

  void HandleWaitingBytes(ByteCount bytes) override {
    observer_.OnWaitingBytes(bytes);
  }

  void HandleEnd(ResponseEnd end) override {
    if (end == ResponseEnd::kComplete && has_headers_) {
      StopTimers();
      if (request_.closes_after_error && status_ >= kFirstErrorStatus) {
        DiscardConnection();
      } else {
        pool_.Return(std::move(connection_));
      }
      observer_.OnEnd();
      return;
    }
    if (end == ResponseEnd::kTooLarge) {
      Fail(GetConnectionFailureCode(), "the response from " +
                                           ToString(request_.server) +
                                           " exceeds a limit");
      return;
    }
    if (end == ResponseEnd::kInvalidHead) {
      Fail(GetConnectionFailureCode(),
           "the response from " + ToString(request_.server) +
               " is not valid: " + connection_->head_fault());
      return;
    }
    if (ShouldRetry()) {
      DiscardConnection();
      Connect(pool_.CreateNew(request_.server));
      return;
    }
    Fail(GetConnectionFailureCode(),
         "no complete response from " + ToString(request_.server) +
             ": the connection failed or was closed");
  }

 private:
  void Begin() {
    last_progress_ = pool_.clock().Now();
    if (request_.time_limit > Duration::zero()) {
      deadline_timer_ = pool_.clock().RunAfter(request_.time_limit,
                                               [this] { HandleDeadline(); });
    }
    StartInactivityTimer(request_.inactivity_timeout);
    std::unique_ptr<ClientConnection> idle;
    if (!request_.needs_new_connection) {
      idle = pool_.TakeIdle(request_.server);
    }
    is_reused_ = idle != nullptr;
    Connect(is_reused_ ? std::move(idle) : pool_.CreateNew(request_.server));
  }

  void Connect(std::unique_ptr<ClientConnection> connection) {
    connection_ = std::move(connection);
    connect_timer_ = pool_.clock().RunAfter(pool_.connect_timeout(),
                                            [this] { HandleConnectTimeout(); });
    connection_->Send(request_, *this);
  }

  // The server may close an idle connection just as it is reused, which is no
  // fault of the server. A request is retried only if it was not sent or may be
  // repeated.
  bool ShouldRetry() {
    const bool is_repeatable =
        request_.method == "GET" || request_.method == "HEAD";
    const bool can_retry =
        is_reused_ && !has_headers_ &&
        (is_repeatable || (connection_ && !connection_->is_sent()));
    is_reused_ = false;
    return can_retry;
  }

  void HandleConnectTimeout() {
    if (connection_ && !connection_->is_sent()) {
      Fail(ErrorCode::kUnavailable,
           "timed out connecting to " + ToString(request_.server));
    }
  }

  void HandleDeadline() {
    const bool is_sent = connection_ && connection_->is_sent();
    Fail(is_sent ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable,
         "time limit passed before " + ToString(request_.server) +
             " answered completely");
  }

  void StartInactivityTimer(Duration wait) {
    if (request_.inactivity_timeout <= Duration::zero()) {
      return;
    }
    inactivity_timer_ =
        pool_.clock().RunAfter(wait, [this] { HandleInactivityTimer(); });
  }

  void HandleInactivityTimer() {
    const MonotonicTime silent_at =
        last_progress_ + request_.inactivity_timeout;
    const Duration left = silent_at - pool_.clock().Now();
    if (is_paused_ || left > Duration::zero()) {
      StartInactivityTimer(is_paused_ ? request_.inactivity_timeout : left);
      return;
    }
    Fail(GetConnectionFailureCode(), "no data from " +
                                         ToString(request_.server) +
                                         " within the inactivity timeout");
  }

  ErrorCode GetConnectionFailureCode() const {
    if (!connection_ || !connection_->is_sent()) {
      return ErrorCode::kUnavailable;
    }
    return has_headers_ ? ErrorCode::kConnectionLost
                        : ErrorCode::kUnknownEffect;
  }

  void Fail(ErrorCode code, std::string detail) {
    StopTimers();
    DiscardConnection();
    observer_.OnError({code, std::move(detail)});
  }

  void DiscardConnection() {
    if (connection_) {
      pool_.Discard(std::move(connection_));
    }
  }

  void StopTimers() {
    connect_timer_.reset();
    deadline_timer_.reset();
    inactivity_timer_.reset();
  }

  ConnectionPool& pool_;
  HttpRequest request_;
  HttpResponseObserver& observer_;
  std::unique_ptr<ClientConnection> connection_;
  std::unique_ptr<Timer> start_timer_;
  std::unique_ptr<Timer> connect_timer_;
  std::unique_ptr<Timer> deadline_timer_;
  std::unique_ptr<Timer> inactivity_timer_;
  MonotonicTime last_progress_{};
  int status_ = 0;
  bool is_reused_ = false;
  bool is_paused_ = false;
  bool has_headers_ = false;
};

}  // namespace

std::unique_ptr<HttpCall> CreateClientCall(ConnectionPool& pool,
                                           HttpRequest request,
                                           HttpResponseObserver& observer) {
  return std::make_unique<ClientCall>(pool, std::move(request), observer);
}

}  // namespace kingcupdrift
