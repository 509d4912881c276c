#ifndef KINGCUPDRIFT_NET_HTTP_SERVER_H_
#define KINGCUPDRIFT_NET_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/event_loop.h"

namespace kingcupdrift {

class ConnectionBudget;

struct HttpServerSettings {
  /// Requests with larger headers are answered with 400. The line ends are not
  /// counted.
  ByteCount max_header_bytes{32'000};
  /// Requests with a larger body are answered with 413.
  ByteCount max_body_bytes{8'000'000};
  /// A connection is closed after this long without a byte while its request is
  /// incomplete, the caller does not read the response, or it is idle.
  Duration inactivity_timeout = std::chrono::seconds(60);
  /// Most bytes of a response in chunks that the kernel holds before it sends
  /// them, so that a caller that reads nothing costs little there. Zero: the
  /// kernel's default, up to some megabytes.
  ByteCount max_kernel_unsent_bytes{0};
  /// Receive buffer that the kernel gives each connection until a large body
  /// arrives on it. Zero: the kernel's default, up to some megabytes.
  ByteCount receive_buffer_bytes{0};
  /// Counts the connections and what they hold, with those of other servers of
  /// the process; outlives the server. Null: one of the server's own, which
  /// bounds nothing.
  ConnectionBudget* budget = nullptr;
  /// Counts the unsent bytes of responses in `budget` too.
  bool is_budgeting_responses = false;
};

/// From this size on, reading, parsing and routing a request body run in
/// separate loop iterations.
inline constexpr std::size_t kLargeBodyBytes = 65'536;

/// One request and its response, sent by `Respond`, or by `StartChunked`,
/// `WriteChunk` and `EndChunked`. Destroying the exchange before the response
/// was ended closes the connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// "GET", "POST" and so on.
  virtual const std::string& method() const = 0;
  /// Path and query, as sent.
  virtual const std::string& target() const = 0;
  virtual const HeaderList& headers() const = 0;
  /// The request's body; never null. At least `kBodyPadding` bytes of capacity
  /// follow its last byte, as the JSON parser requires.
  virtual const SharedBytes& body() const = 0;

  /// Sends a whole response. `body` is never null.
  virtual void Respond(int status,
                       const HeaderList& headers,
                       SharedBytes body) = 0;
  virtual void StartChunked(int status, const HeaderList& headers) = 0;
  virtual void WriteChunk(std::string_view bytes) = 0;
  virtual void EndChunked() = 0;

  /// True once the connection is closed; writes then have no effect.
  virtual bool IsClosed() const = 0;
  /// Bytes in the connection's send buffer, headers included, also after the
  /// response was ended; 0 once the connection is closed.
  virtual ByteCount GetUnsentBytes() const = 0;
  /// The unsent bytes and those in the kernel that the caller's side has not
  /// acknowledged.
  virtual ByteCount GetUndeliveredBytes() const { return GetUnsentBytes(); }
  /// Called once, on the loop, after the response was ended, when its last byte
  /// was sent or the connection has failed. The callback may destroy the
  /// exchange. Destroying the exchange earlier drops the callback only.
  virtual void SetSentCallback(std::function<void()>) {}  // NOLINT
  /// Resets the connection, also after the response was ended; unsent bytes
  /// are dropped, in the kernel too. No callback follows.
  virtual void Discard() {}
  /// Called once, on the loop, if the caller closes the connection or it fails
  /// before the response was ended. The callback may destroy the exchange.
  virtual void SetClosedCallback(std::function<void()> callback) = 0;
  /// Called whenever the send buffer is empty after `WriteChunk`; not called
  /// after `Respond` or `EndChunked`.
  virtual void SetDrainedCallback(std::function<void()> callback) = 0;

  /// Value of the first header `name`, ignoring case; empty if there is none.
  std::string_view GetHeader(std::string_view name) const;
  /// The target without its query.
  std::string_view GetPath() const;
  /// Decoded value of a query parameter; absent if there is none.
  std::optional<std::string> GetQueryParameter(std::string_view name) const;
  /// Responds with a short body.
  void RespondText(int status, std::string_view content_type, std::string text);

  static constexpr std::size_t kBodyPadding = 64;
};

/// An HTTP/1.1 server on the loop.
class HttpServer {
 public:
  using Handler = std::function<void(std::unique_ptr<HttpExchange>)>;

  virtual ~HttpServer() = default;

  /// Listens at `endpoint`; port 0 picks a free one. kUnavailable if the
  /// address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(
      EventLoop& loop,
      const Endpoint& endpoint,
      const HttpServerSettings& settings,
      Handler handler);

  /// The address that the server listens at, with the port that was picked.
  virtual Endpoint endpoint() const = 0;
  /// Changes the limits of requests that begin from now on, on open connections
  /// too. `budget` and `receive_buffer_bytes` stay as they are.
  virtual void SetLimits(const HttpServerSettings& settings) = 0;
  /// Exchanges without a complete response, and responses with unsent bytes.
  virtual std::size_t CountUnfinishedExchanges() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_HTTP_SERVER_H_
