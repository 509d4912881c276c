// Responses of a client's connection.

#include <utility>

#include "kingcupdrift/net/internal/http_convert.h"
#include "kingcupdrift/net/internal/server_connection.h"
#include "kingcupdrift/net/internal/socket_address.h"

namespace kingcupdrift {

void ServerConnection::SendResponse(int status,
                                    const HeaderList& headers,
                                    SharedBytes body) {
  const bool is_bodyless = IsBodyless(status);
  ResponseFraming framing;
  const bool states_length = ReadResponseHeaders(headers).has_length;
  if (!is_bodyless && !(is_head_request_ && (states_length || body->empty()))) {
    framing.length = body->size();
  }
  WriteHead(status, headers, framing);
  if (!is_bodyless && !is_head_request_) {
    const std::string_view bytes = *body;
    AddReference(output(), {std::move(body), bytes});
  }
  EndResponse();
}

void ServerConnection::StartChunked(int status, const HeaderList& headers) {
  const bool states_length = ReadResponseHeaders(headers).has_length;
  const bool has_body = !IsBodyless(status) && !is_head_request_;
  is_chunked_ = has_body && is_http_1_1_ && !states_length;
  if (has_body && !is_chunked_ && !states_length) {
    keeps_alive_ = false;
  }
  const ByteCount max_unsent = owner_.settings().max_kernel_unsent_bytes;
  if (max_unsent > ByteCount(0)) {
    SetMaxUnsentBytes(socket(), max_unsent);
  }
  ResponseFraming framing;
  framing.is_chunked = is_chunked_;
  WriteHead(status, headers, framing);
}

void ServerConnection::WriteHead(int status,
                                 const HeaderList& headers,
                                 const ResponseFraming& framing) {
  if (ReadResponseHeaders(headers).closes_connection) {
    keeps_alive_ = false;
  }
  std::string_view connection;
  if (!keeps_alive_) {
    connection = "close";
  } else if (!is_http_1_1_) {
    connection = "keep-alive";
  }
  Write(FormatResponseHead(status, headers, framing, connection));
}

void ServerConnection::WriteChunk(std::string_view bytes) {
  if (is_head_request_) {
    return;
  }
  has_chunk_ = true;
  if (is_chunked_) {
    evbuffer_add_printf(output(), "%zx\r\n", bytes.size());
  }
  Write(bytes);
  if (is_chunked_) {
    Write("\r\n");
  }
}

void ServerConnection::EndChunked() {
  if (is_chunked_) {
    Write("0\r\n\r\n");
  }
  EndResponse();
}

void ServerConnection::EndResponse() {
  const auto self = shared_from_this();
  phase_ = Phase::kEnding;
  if (owner_.settings().is_budgeting_responses) {
    account_->SetBusy(false);
    UpdateAccount();
  }
  if (phase_ == Phase::kEnding && evbuffer_get_length(output()) == 0) {
    // No write is left that would report the end.
    owner_.loop().Post([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->phase_ == Phase::kEnding) {
        self->FinishResponse();
      }
    });
  }
}

void ServerConnection::FinishResponse() {
  phase_ = Phase::kReading;
  account_->SetBusy(false);
  account_->AddProgress(ConnectionBudget::kProgressStep);
  --*std::exchange(unfinished_, nullptr);
  head_bytes_ = ByteCount(0);
  if (ResponseObserver* const observer = std::exchange(observer_, nullptr)) {
    observer->HandleSent();
  }
  if (phase_ != Phase::kReading) {
    return;
  }
  if (!keeps_alive_) {
    Close();
    return;
  }
  // The time in which the response was made does not count as idle.
  const timeval limit = ToTimeval(owner_.settings().inactivity_timeout);
  bufferevent_set_timeouts(stream_.get(), &limit, &limit);
  ReadInput();
}

void ServerConnection::Reset() {
  observer_ = nullptr;
  if (phase_ != Phase::kClosed) {
    SetResetOnClose(socket());
    Close();
  }
}

ByteCount ServerConnection::GetUnsentBytes() const {
  return ByteCount(static_cast<std::int64_t>(evbuffer_get_length(output())));
}

ByteCount ServerConnection::GetUndeliveredBytes() const {
  return GetUnsentBytes() + GetUnacknowledgedBytes(socket());
}

void ServerConnection::Write(std::string_view bytes) {
  evbuffer_add(output(), bytes.data(), bytes.size());
}

}  // namespace kingcupdrift
