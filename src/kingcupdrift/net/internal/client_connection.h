#ifndef KINGCUPDRIFT_NET_INTERNAL_CLIENT_CONNECTION_H_
#define KINGCUPDRIFT_NET_INTERNAL_CLIENT_CONNECTION_H_

#include <cstdint>

#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/internal/libevent_handles.h"

struct evbuffer_cb_info;

namespace kingcupdrift {

/// Totals over all connections of a client.
struct TrafficCounters {
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
};

/// Events of the one request that a connection carries.
class ConnectionDelegate {
 public:
  virtual ~ConnectionDelegate() = default;
  virtual void HandleHeaders(int status, const HeaderList& headers) = 0;
  virtual void HandleBytes(std::string_view bytes) = 0;
  /// The request ended; `is_response_complete` if its answer is complete.
  virtual void HandleEnd(bool is_response_complete) = 0;
};

/// One connection to a server, with at most one request under way. It must not
/// be destroyed inside its user's callbacks.
class ClientConnection {
 public:
  ClientConnection(event_base* base,
                   const Endpoint& server,
                   TrafficCounters& counters);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Sends a request. Events go to `user` until `Abandon`.
  void Send(const HttpRequest& request, ConnectionDelegate& user);
  /// Ends the events; the connection is of no more use.
  void Abandon();
  /// Detaches the user after a whole answer.
  void DetachDelegate() { delegate_ = nullptr; }

  void SetPaused(bool is_paused);
  /// Whether a byte of the request went out.
  bool is_sent() const { return is_sent_; }
  bool IsOpen() const;
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
