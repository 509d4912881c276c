#include "kingcupdrift/net/internal/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "kingcupdrift/net/internal/server_exchange.h"
#include "kingcupdrift/net/internal/socket_address.h"

namespace kingcupdrift {
namespace {

constexpr int kExpectationFailed = 417;
constexpr int kNotImplemented = 501;
constexpr int kUnavailable = 503;

constexpr std::array<std::string_view, 7> kSupportedMethods = {
    "GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"};

/// From this many bytes of input behind a request that is being handled, the
/// connection counts as blocked.
constexpr std::size_t kMaxWaitingBytes = 16'384;
/// What a connection takes besides the bytes that it has received.
constexpr ByteCount kConnectionBytes{2'000};
/// Receive buffer of a connection on which a large body arrives.
constexpr ByteCount kLargeReceiveBufferBytes{256'000};
/// After a refusal the connection is read for this time and so many bytes at
/// most. A reset, which unread bytes would cause, may overtake the response.
constexpr Duration kRefusalTime = std::chrono::seconds(10);
constexpr std::size_t kMaxDroppedBytes = 16'000'000;
/// Retry-After of refusals for want of memory.
constexpr std::string_view kRetryAfterSeconds = "1";

bool IsSupported(const std::string& method) {
  return std::find(kSupportedMethods.begin(), kSupportedMethods.end(),
                   method) != kSupportedMethods.end();
}

}  // namespace

ServerConnection::ServerConnection(ConnectionOwner& owner, int socket)
    : owner_(owner),
      stream_(bufferevent_socket_new(owner.loop().base(),
                                     socket,
                                     BEV_OPT_CLOSE_ON_FREE)),
      account_(std::in_place, owner.budget(), *this) {}

ServerConnection::~ServerConnection() {
  if (unfinished_) {
    --*unfinished_;
  }
}

void ServerConnection::Start() {
  DisableSendDelay(socket());
  bufferevent_setcb(stream_.get(), &OnRead, &OnWritten, &OnEvent, this);
  SetInputLimit();
  const timeval limit = ToTimeval(owner_.settings().inactivity_timeout);
  bufferevent_set_timeouts(stream_.get(), &limit, &limit);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  UpdateAccount();
}

void ServerConnection::OnRead(bufferevent*, void* arg) {
  const auto self = static_cast<ServerConnection*>(arg)->shared_from_this();
  self->ReadInput();
}

void ServerConnection::OnWritten(bufferevent*, void* arg) {
  const auto self = static_cast<ServerConnection*>(arg)->shared_from_this();
  self->HandleWritten();
}

void ServerConnection::OnEvent(bufferevent*, short events, void* arg) {
  const auto self = static_cast<ServerConnection*>(arg)->shared_from_this();
  self->HandleEvent(events);
}

void ServerConnection::ReadInput() {
  const std::size_t size = evbuffer_get_length(input());
  if (size > seen_input_) {
    account_->AddProgress(
        ByteCount(static_cast<std::int64_t>(size - seen_input_)));
  }
  if (phase_ == Phase::kRefused) {
    DropInput();
  } else if (phase_ == Phase::kReading) {
    ParseInput();
  }
  if (phase_ != Phase::kClosed) {
    seen_input_ = evbuffer_get_length(input());
    UpdateReading();
    UpdateAccount();
  }
}

void ServerConnection::UpdateReading() {
  const bool is_full = IsResponding() && seen_input_ >= input_limit_;
  if (std::exchange(is_reading_paused_, is_full) == is_full) {
    return;
  }
  if (is_full) {
    bufferevent_disable(stream_.get(), EV_READ);
  } else {
    bufferevent_enable(stream_.get(), EV_READ);
  }
}

void ServerConnection::DropInput() {
  dropped_bytes_ += evbuffer_get_length(input());
  evbuffer_drain(input(), evbuffer_get_length(input()));
  if (dropped_bytes_ > kMaxDroppedBytes) {
    Close();
  }
}

void ServerConnection::ParseInput() {
  const std::size_t size = evbuffer_get_length(input());
  if (size == 0) {
    return;
  }
  if (!parser_) {
    parser_ = std::make_unique<RequestParser>(RequestLimits{
        owner_.settings().max_header_bytes, owner_.settings().max_body_bytes,
        HttpExchange::kBodyPadding});
    is_head_checked_ = false;
    SetInputLimit();
    account_->BeginRequest();
  }
  const auto* const bytes =
      reinterpret_cast<const char*>(evbuffer_pullup(input(), -1));
  evbuffer_drain(input(), parser_->Parse({bytes, size}));
  if (parser_->failure_status() != 0) {
    Refuse(parser_->failure_status());
    return;
  }
  if (parser_->has_head() && !std::exchange(is_head_checked_, true)) {
    CheckHead();
  }
  if (phase_ == Phase::kReading && parser_->is_complete()) {
    Dispatch();
  }
}

void ServerConnection::CheckHead() {
  if (!IsSupported(parser_->method())) {
    Refuse(kNotImplemented);
  } else if (parser_->has_unknown_expectation()) {
    Refuse(kExpectationFailed);
  } else if (parser_->expects_continue() && !parser_->is_complete() &&
             evbuffer_get_length(input()) == 0) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::Dispatch() {
  phase_ = Phase::kHandling;
  is_http_1_1_ = parser_->is_http_1_1();
  is_head_request_ = parser_->method() == "HEAD";
  keeps_alive_ = parser_->keeps_alive();
  is_chunked_ = false;
  has_chunk_ = false;
  unfinished_ = owner_.unfinished_count();
  ++*unfinished_;
  account_->SetBusy(true);
  const std::unique_ptr<RequestParser> parser = std::move(parser_);
  auto exchange = CreateServerExchange(*this, *parser);
  // The handler accounts for the body.
  head_bytes_ = parser->GetHeldBytes();
  owner_.HandleRequest(std::move(exchange));
}

void ServerConnection::HandleWritten() {
  switch (phase_) {
    case Phase::kHandling:
      if (has_chunk_ && observer_ != nullptr) {
        observer_->HandleDrained();
      }
      break;
    case Phase::kEnding:
      FinishResponse();
      break;
    case Phase::kRefused:
      shutdown(socket(), SHUT_WR);
      break;
    case Phase::kReading:
    case Phase::kClosed:
      break;
  }
}

void ServerConnection::HandleEvent(short events) {
  if ((events & BEV_EVENT_TIMEOUT) != 0 && (events & BEV_EVENT_READING) != 0 &&
      IsResponding()) {
    // The client waits for the response. The timeout has disabled reading.
    bufferevent_enable(stream_.get(), EV_READ);
    return;
  }
  if (const short direction = FindReadyDirection(socket(), events)) {
    // The bytes came in time; the process did not run meanwhile.
    bufferevent_enable(stream_.get(), direction);
    return;
  }
  if ((events & BEV_EVENT_EOF) != 0 && phase_ == Phase::kEnding) {
    // A client that sends no more may still read.
    keeps_alive_ = false;
    return;
  }
  Close();
}

void ServerConnection::Refuse(int status) {
  parser_.reset();
  phase_ = Phase::kRefused;
  if (std::exchange(has_large_receive_buffer_, false)) {
    SetReceiveBuffer(socket(), owner_.settings().receive_buffer_bytes);
  }
  keeps_alive_ = false;
  is_http_1_1_ = true;
  HeaderList headers = {{"Content-Type", "text/plain"}};
  if (status == kUnavailable) {
    headers.emplace_back("Retry-After", kRetryAfterSeconds);
  }
  const std::string text = GetReasonPhrase(status) + "\n";
  ResponseFraming framing;
  framing.length = text.size();
  WriteHead(status, headers, framing);
  Write(text);
  refusal_timer_.reset(event_new(
      owner_.loop().base(), -1, 0,
      [](evutil_socket_t, short, void* arg) {
        const auto self =
            static_cast<ServerConnection*>(arg)->shared_from_this();
        self->Close();
      },
      this));
  const timeval limit = ToTimeval(kRefusalTime);
  event_add(refusal_timer_.get(), &limit);
  DropInput();
  if (phase_ == Phase::kRefused) {
    UpdateAccount();
  }
}

void ServerConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  const bool was_ended = phase_ == Phase::kEnding;
  phase_ = Phase::kClosed;
  account_.reset();
  refusal_timer_.reset();
  parser_.reset();
  stream_.reset();
  if (unfinished_) {
    --*std::exchange(unfinished_, nullptr);
  }
  owner_.Remove(*this);
  if (ResponseObserver* const observer = std::exchange(observer_, nullptr)) {
    if (was_ended) {
      observer->HandleSent();
    } else {
      observer->HandleClosed();
    }
  }
}

ByteCount ServerConnection::ReadKernelBytes() {
  if (account_->is_blocked() && IsPeerClosed(socket())) {
    Close();
    return ByteCount(0);
  }
  // The kernel's bytes of a reserved body are counted already, and those of a
  // refused request are dropped.
  if (phase_ == Phase::kRefused || (parser_ && parser_->has_reserved_body())) {
    return ByteCount(0);
  }
  return GetArrivedBytes(socket());
}

void ServerConnection::Shed() {
  if (phase_ == Phase::kReading && parser_) {
    Refuse(kUnavailable);
  } else {
    Close();
  }
}

void ServerConnection::SetInputLimit() {
  // An incomplete head stays in the input buffer, with its line ends.
  constexpr std::size_t kReadBytes = 16'384;
  const auto max_header_bytes =
      static_cast<std::size_t>(owner_.settings().max_header_bytes.value());
  const std::size_t limit = 2 * max_header_bytes + kReadBytes;
  if (std::exchange(input_limit_, limit) != limit) {
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, limit);
  }
}

void ServerConnection::EnlargeReceiveBuffer() {
  const HttpServerSettings& settings = owner_.settings();
  if (has_large_receive_buffer_ ||
      settings.receive_buffer_bytes == ByteCount(0) || !parser_ ||
      parser_->GetHeldBytes() < settings.receive_buffer_bytes ||
      !owner_.budget().HasAmpleRoom(kLargeReceiveBufferBytes)) {
    return;
  }
  has_large_receive_buffer_ = true;
  SetReceiveBuffer(socket(), kLargeReceiveBufferBytes);
}

void ServerConnection::UpdateAccount() {
  EnlargeReceiveBuffer();
  const std::size_t waiting = evbuffer_get_length(input());
  account_->SetBlocked(IsResponding() && waiting >= kMaxWaitingBytes);
  ByteCount held = kConnectionBytes + head_bytes_ +
                   ByteCount(static_cast<std::int64_t>(waiting));
  if (parser_) {
    held += parser_->GetHeldBytes();
  }
  if (has_large_receive_buffer_ && parser_ && !parser_->has_reserved_body()) {
    held += kLargeReceiveBufferBytes;
  }
  if (owner_.settings().is_budgeting_responses) {
    held += GetUnsentBytes();
  }
  account_->SetHeld(held);
}

}  // namespace kingcupdrift
