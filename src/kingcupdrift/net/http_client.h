#ifndef KINGCUPDRIFT_NET_HTTP_CLIENT_H_
#define KINGCUPDRIFT_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/event_loop.h"

namespace kingcupdrift {

struct HttpRequest {
  Endpoint server;
  /// GET, POST, HEAD, PUT, DELETE, OPTIONS or PATCH. Another one is not sent
  /// and fails with kUnavailable.
  std::string method = "GET";
  std::string target = "/";
  /// A "Host" header here replaces the default one, the server's address.
  HeaderList headers;
  /// Sent without being copied.
  BodySlices body;
  /// Do not reuse an idle connection.
  bool needs_new_connection = false;
  /// Most bytes of the response, its head included; a longer one fails. Zero
  /// means no limit.
  ByteCount max_response_bytes{0};
  /// Close the connection after a response with a status of 400 or more.
  bool closes_after_error = false;
  /// Timeout of the whole call; zero means none.
  Duration time_limit = std::chrono::seconds(10);
  /// Longest time without response data, from the call's start on; zero means
  /// no limit. Time while reading is paused does not count, nor do bytes of an
  /// incomplete response head.
  Duration inactivity_timeout{0};
};

struct HttpResponse {
  int status = 0;
  HeaderList headers;
  SharedBytes body;

  /// Value of the first header `name`, ignoring case; empty if there is none.
  std::string_view GetHeader(std::string_view name) const;
};

/// Receives a response as it arrives. OnEnd or OnError is the last call.
class HttpResponseObserver {
 public:
  virtual ~HttpResponseObserver() = default;
  virtual void OnHeaders(int status, const HeaderList& headers) = 0;
  virtual void OnBytes(std::string_view bytes) = 0;
  virtual void OnEnd() = 0;
  /// kUnavailable: no byte of the request was sent. kUnknownEffect: the request
  /// was sent, and the connection was lost or exceeded the inactivity timeout
  /// before the response head. kConnectionLost: the same after the response
  /// head. kDeadlineExceeded: the request was sent, and the time limit
  /// passed.
  virtual void OnError(Error error) = 0;
  /// So many bytes of the response wait for the rest of its head or of a chunk.
  /// Less than `kMinReportedBytes` are reported as zero. Must not destroy the
  /// call.
  virtual void OnWaitingBytes(ByteCount) {}
  static constexpr ByteCount kMinReportedBytes{4'000};
};

/// A running call. Destroying it closes the connection; no callback follows.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Stops or resumes reading the response.
  virtual void SetPaused(bool is_paused) = 0;
  /// Bytes of the response that have arrived and were not read, in the kernel
  /// too.
  virtual ByteCount GetUnreadBytes() const { return ByteCount(0); }
};

struct HttpClientSettings {
  Duration connect_timeout = std::chrono::seconds(1);
  /// Idle connections older than this are not reused. They are closed within
  /// twice this time.
  Duration max_idle_time = std::chrono::seconds(5);
  std::size_t max_idle_connections_per_server = 4;
  /// Longest body that `Fetch` and `Send` gather; a longer one fails with
  /// kProtocol. `Stream` has no limit.
  ByteCount max_response_bytes{64'000'000};
};

/// Calls HTTP/1.1 servers, with a small pool of idle connections. Callbacks
/// never run inside the call that starts them. If a reused connection is lost
/// before the response head, the request is retried once over a new connection,
/// provided that it is a GET or HEAD or that no byte was sent.
class HttpClient {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;

  virtual ~HttpClient() = default;

  static std::unique_ptr<HttpClient> Create(EventLoop& loop,
                                            Clock& clock,
                                            const HttpClientSettings& settings);

  /// Gathers the whole response. Errors are those of
  /// HttpResponseObserver::OnError, and kProtocol for a body longer than
  /// `max_response_bytes`.
  [[nodiscard]] virtual std::unique_ptr<HttpCall> Fetch(HttpRequest request,
                                                        Callback callback) = 0;
  /// Like `Fetch`, but the client owns the call until it ends.
  virtual void Send(HttpRequest request, Callback callback) = 0;
  /// Delivers the response piece by piece. `observer` must outlive the call.
  [[nodiscard]] virtual std::unique_ptr<HttpCall> Stream(
      HttpRequest request,
      HttpResponseObserver& observer) = 0;

  /// Bytes read from and written to all connections so far, headers included.
  virtual ByteCount BytesReceived() const = 0;
  virtual ByteCount BytesSent() const = 0;
  /// Responses so far whose head was not valid HTTP. Such a call fails as if
  /// the connection had been lost before the head.
  virtual std::uint64_t CountInvalidHeads() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_HTTP_CLIENT_H_
