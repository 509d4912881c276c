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
  std::string method = "GET";
  std::string target = "/";
  /// A "Host" among them goes before the server's address.
  HeaderList headers;
  /// Sent without a copy.
  BodySlices body;
  /// Never reuse an idle connection.
  bool needs_new_connection = false;
  /// Limit of the whole call; zero means none.
  Duration time_limit = std::chrono::seconds(10);
  /// Longest time without a byte from the server; zero means none.
  Duration inactivity_timeout{0};
};

struct HttpResponse {
  int status = 0;
  HeaderList headers;
  SharedBytes body;

  /// Value of the first header `name`, in any case; empty without one.
  std::string_view GetHeader(std::string_view name) const;
};

/// Receives an answer as it arrives. After OnEnd or OnError no more follow.
class HttpResponseObserver {
 public:
  virtual ~HttpResponseObserver() = default;
  virtual void OnHeaders(int status, const HeaderList& headers) = 0;
  virtual void OnBytes(std::string_view bytes) = 0;
  virtual void OnEnd() = 0;
  /// kUnavailable: no byte of the request was sent. kUnknownEffect: sent, and
  /// the connection broke before an answer began. kConnectionLost: broke, or
  /// went silent, after that. kDeadlineExceeded: the time limit passed.
  virtual void OnError(Error error) = 0;
};

/// A running call. Destroying it closes the connection and ends the events.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Stops or restarts reading the answer.
  virtual void SetPaused(bool is_paused) = 0;
};

struct HttpClientSettings {
  Duration connect_timeout = std::chrono::seconds(1);
  /// Idle connections older than this are not reused.
  Duration max_idle_time = std::chrono::seconds(5);
  std::size_t max_idle_connections_per_server = 4;
  ByteCount max_response_bytes{64'000'000};
};

/// Calls HTTP/1.1 servers, with a small pool of idle connections. Callbacks
/// never run inside the call that starts them.
class HttpClient {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;

  virtual ~HttpClient() = default;

  static std::unique_ptr<HttpClient> Create(EventLoop& loop,
                                            Clock& clock,
                                            const HttpClientSettings& settings);

  /// Gathers the whole answer. Errors as of HttpResponseObserver.
  [[nodiscard]] virtual std::unique_ptr<HttpCall> Fetch(HttpRequest request,
                                                        Callback callback) = 0;
  /// Like `Fetch`, with a call that the client itself keeps until its end.
  virtual void Send(HttpRequest request, Callback callback) = 0;
  /// Delivers the answer piece by piece. `observer` outlives the call.
  [[nodiscard]] virtual std::unique_ptr<HttpCall> Stream(
      HttpRequest request,
      HttpResponseObserver& observer) = 0;

  /// Bytes of all answers and requests so far.
  virtual ByteCount BytesReceived() const = 0;
  virtual ByteCount BytesSent() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_HTTP_CLIENT_H_
