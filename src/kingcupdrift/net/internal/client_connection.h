#ifndef KINGCUPDRIFT_NET_INTERNAL_CLIENT_CONNECTION_H_
#define KINGCUPDRIFT_NET_INTERNAL_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/internal/chunk_scanner.h"
#include "kingcupdrift/net/internal/libevent_handles.h"
#include "kingcupdrift/net/internal/read_limiter.h"

struct evbuffer_cb_info;

namespace kingcupdrift {

/// Totals of all connections of a client.
struct TrafficCounters {
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
  /// Responses whose head is not valid HTTP.
  std::uint64_t invalid_heads = 0;
};

/// How a request on a connection ended.
enum class ResponseEnd {
  kComplete,
  /// The connection failed, or the request could not be sent, as with an
  /// unsupported method.
  kBroken,
  /// The response exceeds a limit of `ClientConnection`.
  kTooLarge,
  /// The response's head is not valid HTTP.
  kInvalidHead,
};

/// Receives the events of the request that a connection carries.
class ConnectionDelegate {
 public:
  virtual ~ConnectionDelegate() = default;
  virtual void HandleHeaders(int status, const HeaderList& headers) = 0;
  virtual void HandleBytes(std::string_view bytes) = 0;
  /// See HttpResponseObserver::OnWaitingBytes.
  virtual void HandleWaitingBytes(ByteCount bytes) = 0;
  /// The request ended.
  virtual void HandleEnd(ResponseEnd end) = 0;
};

/// One connection to a server, which carries at most one request at a time. It
/// must not be destroyed inside its delegate's callbacks.
class ClientConnection {
 public:
  /// `limiter` is that of the server.
  ClientConnection(event_base* base,
                   Clock& clock,
                   const Endpoint& server,
                   std::shared_ptr<ReadLimiter> limiter,
                   TrafficCounters& counters);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Sends a request. `delegate` receives its events until `Abandon` or
  /// `DetachDelegate`; HandleEnd may be called before `Send` returns.
  void Send(const HttpRequest& request, ConnectionDelegate& delegate);
  /// Stops the events and shuts the connection down, also one that is being
  /// established: no byte is written any more. It cannot be used again.
  void Abandon();
  /// Stops the events after a complete response, so that the connection can be
  /// reused.
  void DetachDelegate() { delegate_ = nullptr; }

  void SetPaused(bool is_paused);
  /// Bytes that have arrived and were not read, in the kernel too.
  ByteCount GetUnreadBytes() const;
  /// True once a byte of the request was sent.
  bool is_sent() const { return is_sent_; }
  /// True if the connection is open and has no unread bytes.
  bool IsReusable() const;
  const Endpoint& server() const { return server_; }
  /// What makes the response's head invalid; null if nothing does.
  const char* head_fault() const { return head_fault_; }

  /// Most bytes up to the end of the response head, interim responses included.
  static constexpr std::size_t kMaxHeadBytes = 128'000;
  /// Most bytes that wait for the rest of a chunk, which libevent does not
  /// limit.
  static constexpr std::size_t kMaxUnreadBytes = 8'000'000;

 private:
  static int OnHeaders(evhttp_request* request, void* arg);
  static void OnChunk(evhttp_request* request, void* arg);
  static void OnDone(evhttp_request* request, void* arg);
  static void OnOutput(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* arg);
  static void OnInput(evbuffer* buffer,
                      const evbuffer_cb_info* info,
                      void* arg);

  /// Keeps the start of the response's status line.
  void KeepStatusLine(evbuffer* buffer);
  void CountInput(evbuffer* buffer, std::size_t added_bytes);
  /// False if a chunk's size line is too long.
  bool ScanChunks(evbuffer* buffer, std::size_t added_bytes);
  void ReportWaitingBytes(std::size_t unread_bytes);
  /// Stops reading while the server's limiter asks for it.
  void LimitReading();
  void UpdateReading();
  bufferevent* stream() const;

  Clock& clock_;
  Endpoint server_;
  std::shared_ptr<ReadLimiter> limiter_;
  TrafficCounters& counters_;
  HttpConnectionHandle connection_;
  ConnectionDelegate* delegate_ = nullptr;
  bool is_sent_ = false;
  bool has_head_ = false;
  // The first `kStatusBytes` of the response.
  std::string status_line_;
  const char* head_fault_ = nullptr;
  // Bytes received before the end of the response head.
  std::size_t head_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  // Zero means no limit.
  std::size_t max_response_bytes_ = 0;
  std::size_t reported_bytes_ = 0;
  // Absent unless the body that follows the head has chunks.
  std::optional<ChunkScanner> chunk_scanner_;
  bool is_paused_ = false;
  // Runs while the limiter keeps the connection from being read.
  std::unique_ptr<Timer> pause_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_CLIENT_CONNECTION_H_
