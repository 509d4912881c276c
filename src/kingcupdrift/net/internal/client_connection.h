#ifndef KINGCUPDRIFT_NET_INTERNAL_CLIENT_CONNECTION_H_
#define KINGCUPDRIFT_NET_INTERNAL_CLIENT_CONNECTION_H_

#include <cstdint>

#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/internal/libevent_handles.h"

struct evbuffer_cb_info;

namespace kingcupdrift {

/// Totals of all connections of a client.
struct TrafficCounters {
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
};

/// Receives the events of the request that a connection carries.
class ConnectionDelegate {
 public:
  virtual ~ConnectionDelegate() = default;
  virtual void HandleHeaders(int status, const HeaderList& headers) = 0;
  virtual void HandleBytes(std::string_view bytes) = 0;
  /// The request ended. If `is_response_complete` is false, the connection
  /// failed or the request could not be sent, as with an unsupported method.
  virtual void HandleEnd(bool is_response_complete) = 0;
};

/// One connection to a server, which carries at most one request at a time. It
/// must not be destroyed inside its delegate's callbacks.
class ClientConnection {
 public:
  ClientConnection(event_base* base,
                   const Endpoint& server,
                   TrafficCounters& counters);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Sends a request. `delegate` receives its events until `Abandon` or
  /// `DetachDelegate`; HandleEnd may be called before `Send` returns.
  void Send(const HttpRequest& request, ConnectionDelegate& delegate);
  /// Stops the events and all reading and writing; the connection cannot be
  /// used again.
  void Abandon();
  /// Stops the events after a complete response, so that the connection can be
  /// reused.
  void DetachDelegate() { delegate_ = nullptr; }

  void SetPaused(bool is_paused);
  /// True once a byte of the request was sent.
  bool is_sent() const { return is_sent_; }
  /// True if the connection is open and has no unread bytes.
  bool IsReusable() const;
  const Endpoint& server() const { return server_; }

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

  bufferevent* stream() const;

  Endpoint server_;
  TrafficCounters& counters_;
  HttpConnectionHandle connection_;
  ConnectionDelegate* delegate_ = nullptr;
  bool is_sent_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_CLIENT_CONNECTION_H_
