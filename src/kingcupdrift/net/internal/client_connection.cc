#include "kingcupdrift/net/internal/client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "kingcupdrift/net/internal/http_convert.h"
#include "kingcupdrift/net/internal/response_check.h"
#include "kingcupdrift/net/internal/socket_address.h"

namespace kingcupdrift {
namespace {

// libevent's own timeout; it matters only for calls that have no other one.
constexpr int kLibraryTimeoutSeconds = 24 * 60 * 60;
constexpr int kMaxResponseHeaderBytes = 64 * 1024;
// Most buffer segments that one peek returns.
constexpr int kMaxSegments = 16;

void AddRequestHeaders(evkeyvalq* target, const HttpRequest& request) {
  AddHeaders(target, request.headers);
  if (evhttp_find_header(target, "Host") == nullptr) {
    evhttp_add_header(target, "Host", ToString(request.server).c_str());
  }
  const bool has_body = TotalSize(request.body) > 0;
  if (has_body || (request.method != "GET" && request.method != "HEAD")) {
    const std::string size = std::to_string(TotalSize(request.body));
    evhttp_add_header(target, "Content-Length", size.c_str());
  }
}

}  // namespace

ClientConnection::ClientConnection(event_base* base,
                                   Clock& clock,
                                   const Endpoint& server,
                                   std::shared_ptr<ReadLimiter> limiter,
                                   TrafficCounters& counters)
    : clock_(clock),
      server_(server),
      limiter_(std::move(limiter)),
      counters_(counters) {
  bufferevent* const bev =
      bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  evbuffer_add_cb(bufferevent_get_output(bev), &OnOutput, this);
  evbuffer_add_cb(bufferevent_get_input(bev), &OnInput, this);
  connection_.reset(evhttp_connection_base_bufferevent_new(
      base, nullptr, bev, server.host.c_str(), server.port));
  evhttp_connection_set_timeout(connection_.get(), kLibraryTimeoutSeconds);
  evhttp_connection_set_max_headers_size(connection_.get(),
                                         kMaxResponseHeaderBytes);
}

bufferevent* ClientConnection::stream() const {
  return evhttp_connection_get_bufferevent(connection_.get());
}

bool ClientConnection::IsReusable() const {
  // Bytes after a complete response belong to no request.
  return bufferevent_getfd(stream()) != -1 && GetUnreadBytes() == ByteCount(0);
}

void ClientConnection::Send(const HttpRequest& request,
                            ConnectionDelegate& delegate) {
  delegate_ = &delegate;
  is_sent_ = false;
  has_head_ = false;
  status_line_.clear();
  head_bytes_ = 0;
  response_bytes_ = 0;
  max_response_bytes_ =
      static_cast<std::size_t>(request.max_response_bytes.value());
  reported_bytes_ = 0;
  chunk_scanner_.reset();
  is_paused_ = false;
  evhttp_request* const out = evhttp_request_new(&OnDone, this);
  evhttp_request_set_header_cb(out, &OnHeaders);
  evhttp_request_set_chunked_cb(out, &OnChunk);
  AddRequestHeaders(evhttp_request_get_output_headers(out), request);
  evbuffer* const body = evhttp_request_get_output_buffer(out);
  for (const BodySlice& slice : request.body) {
    AddReference(body, slice);
  }
  const auto method = ParseHttpMethod(request.method);
  if (!method || evhttp_make_request(connection_.get(), out, *method,
                                     request.target.c_str()) != 0) {
    OnDone(nullptr, this);
  }
}

void ClientConnection::Abandon() {
  delegate_ = nullptr;
  pause_timer_.reset();
  bufferevent_disable(stream(), EV_READ | EV_WRITE);
  // Disabling does not stop a connect in progress, after which libevent would
  // write the request. The descriptor stays open, as libevent may be using it.
  shutdown(bufferevent_getfd(stream()), SHUT_RDWR);
}

void ClientConnection::SetPaused(bool is_paused) {
  is_paused_ = is_paused;
  UpdateReading();
}

void ClientConnection::LimitReading() {
  if (delegate_ == nullptr || pause_timer_) {
    return;
  }
  const Duration pause = limiter_->GetPause(clock_.Now());
  if (pause > Duration::zero()) {
    pause_timer_ = clock_.RunAfter(pause, [this] {
      pause_timer_.reset();
      UpdateReading();
    });
    UpdateReading();
  }
}

void ClientConnection::UpdateReading() {
  if (is_paused_ || pause_timer_) {
    bufferevent_disable(stream(), EV_READ);
  } else {
    bufferevent_enable(stream(), EV_READ);
  }
}

ByteCount ClientConnection::GetUnreadBytes() const {
  const evbuffer* const input = bufferevent_get_input(stream());
  return ByteCount(static_cast<std::int64_t>(evbuffer_get_length(input))) +
         GetArrivedBytes(bufferevent_getfd(stream()));
}

int ClientConnection::OnHeaders(evhttp_request* request, void* arg) {
  auto& self = *static_cast<ClientConnection*>(arg);
  self.has_head_ = true;
  // Bytes of the body may have come with the head.
  const evbuffer* const input = bufferevent_get_input(self.stream());
  self.head_bytes_ -= std::min(self.head_bytes_, evbuffer_get_length(input));
  if (self.delegate_ == nullptr) {
    return 0;
  }
  const HeaderList headers =
      ToHeaderList(evhttp_request_get_input_headers(request));
  self.head_fault_ = FindHeadFault(self.status_line_, headers);
  if (self.head_fault_ != nullptr) {
    ++self.counters_.invalid_heads;
    self.delegate_->HandleEnd(ResponseEnd::kInvalidHead);
    return 0;
  }
  if (!FindHeader(headers, "Transfer-Encoding").empty()) {
    self.chunk_scanner_.emplace();
    // The first bytes of the body may have come with the head.
    evbuffer* const body = bufferevent_get_input(self.stream());
    if (!self.ScanChunks(body, evbuffer_get_length(body))) {
      self.delegate_->HandleEnd(ResponseEnd::kTooLarge);
      return 0;
    }
  }
  self.delegate_->HandleHeaders(evhttp_request_get_response_code(request),
                                headers);
  return 0;
}

void ClientConnection::OnChunk(evhttp_request* request, void* arg) {
  auto& self = *static_cast<ClientConnection*>(arg);
  self.limiter_->Take();
  self.LimitReading();
  evbuffer* const input = evhttp_request_get_input_buffer(request);
  std::array<evbuffer_iovec, kMaxSegments> segments{};
  while (self.delegate_ != nullptr && evbuffer_get_length(input) > 0) {
    const int found =
        evbuffer_peek(input, -1, nullptr, segments.data(), kMaxSegments);
    const int count = std::min(found, kMaxSegments);
    std::size_t taken = 0;
    for (int i = 0; i < count && self.delegate_ != nullptr; ++i) {
      self.delegate_->HandleBytes(
          {static_cast<const char*>(segments[i].iov_base),
           segments[i].iov_len});
      taken += segments[i].iov_len;
    }
    evbuffer_drain(input, taken);
  }
}

void ClientConnection::OnDone(evhttp_request* request, void* arg) {
  auto& self = *static_cast<ClientConnection*>(arg);
  if (self.delegate_ == nullptr) {
    return;
  }
  const bool is_response_complete =
      request != nullptr && evhttp_request_get_response_code(request) != 0;
  self.delegate_->HandleEnd(is_response_complete ? ResponseEnd::kComplete
                                                 : ResponseEnd::kBroken);
}

void ClientConnection::OnOutput(evbuffer*,
                                const evbuffer_cb_info* info,
                                void* arg) {
  auto& self = *static_cast<ClientConnection*>(arg);
  if (info->n_deleted == 0) {
    return;
  }
  self.counters_.bytes_sent += static_cast<std::int64_t>(info->n_deleted);
  if (!self.is_sent_) {
    self.is_sent_ = true;
    DisableSendDelay(bufferevent_getfd(self.stream()));
  }
}

void ClientConnection::OnInput(evbuffer* buffer,
                               const evbuffer_cb_info* info,
                               void* arg) {
  auto& self = *static_cast<ClientConnection*>(arg);
  if (info->n_added > 0) {
    self.KeepStatusLine(buffer);
    self.limiter_->Take();
    self.LimitReading();
  }
  self.counters_.bytes_received += static_cast<std::int64_t>(info->n_added);
  self.CountInput(buffer, info->n_added);
}

void ClientConnection::KeepStatusLine(evbuffer* buffer) {
  // The line stays in the buffer until it is whole.
  if (status_line_.size() >= kStatusBytes ||
      status_line_.find('\n') != std::string::npos) {
    return;
  }
  std::array<char, kStatusBytes> bytes{};
  const ev_ssize_t size = evbuffer_copyout(buffer, bytes.data(), bytes.size());
  status_line_.assign(bytes.data(),
                      static_cast<std::size_t>(std::max<ev_ssize_t>(size, 0)));
}

bool ClientConnection::ScanChunks(evbuffer* buffer, std::size_t added_bytes) {
  if (!chunk_scanner_ || chunk_scanner_->SkipData(added_bytes)) {
    return true;
  }
  evbuffer_ptr start{};
  evbuffer_ptr_set(buffer, &start, evbuffer_get_length(buffer) - added_bytes,
                   EVBUFFER_PTR_SET);
  std::array<evbuffer_iovec, kMaxSegments> segments{};
  std::size_t scanned = 0;
  do {
    scanned = 0;
    const int found =
        evbuffer_peek(buffer, static_cast<ev_ssize_t>(added_bytes), &start,
                      segments.data(), kMaxSegments);
    for (int i = 0; i < std::min(found, kMaxSegments); ++i) {
      const std::size_t size =
          std::min(segments[i].iov_len, added_bytes - scanned);
      if (!chunk_scanner_->Scan(
              {static_cast<const char*>(segments[i].iov_base), size})) {
        return false;
      }
      scanned += size;
    }
    added_bytes -= scanned;
  } while (added_bytes > 0 && scanned > 0 &&
           evbuffer_ptr_set(buffer, &start, scanned, EVBUFFER_PTR_ADD) == 0);
  return true;
}

void ClientConnection::CountInput(evbuffer* buffer, std::size_t added_bytes) {
  const std::size_t unread_bytes = evbuffer_get_length(buffer);
  head_bytes_ += has_head_ ? 0 : added_bytes;
  response_bytes_ += added_bytes;
  if (delegate_ == nullptr) {
    return;
  }
  ReportWaitingBytes(unread_bytes);
  const bool is_exceeded =
      !ScanChunks(buffer, added_bytes) || unread_bytes > kMaxUnreadBytes ||
      head_bytes_ > kMaxHeadBytes ||
      (max_response_bytes_ > 0 && response_bytes_ > max_response_bytes_);
  if (is_exceeded) {
    delegate_->HandleEnd(ResponseEnd::kTooLarge);
  }
}

void ClientConnection::ReportWaitingBytes(std::size_t unread_bytes) {
  // The lines of a head leave the buffer one by one, and are kept.
  std::size_t waiting = head_bytes_ + (has_head_ ? unread_bytes : 0);
  if (ByteCount(static_cast<std::int64_t>(waiting)) <
      HttpResponseObserver::kMinReportedBytes) {
    waiting = 0;
  }
  if (waiting != reported_bytes_) {
    reported_bytes_ = waiting;
    delegate_->HandleWaitingBytes(
        ByteCount(static_cast<std::int64_t>(waiting)));
  }
}

}  // namespace kingcupdrift
