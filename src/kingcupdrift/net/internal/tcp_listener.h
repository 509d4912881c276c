#ifndef KINGCUPDRIFT_NET_INTERNAL_TCP_LISTENER_H_
#define KINGCUPDRIFT_NET_INTERNAL_TCP_LISTENER_H_

#include <functional>
#include <memory>
#include <string_view>

#include "kingcupdrift/net/internal/libevent_handles.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Accepts TCP connections on the loop. After a failure, such as a lack of
/// descriptors, it pauses: the connection that could not be accepted keeps the
/// socket ready, and the loop would run without a break.
class TcpListener {
 public:
  struct Callbacks {
    /// Takes ownership of the socket.
    std::function<void(int socket)> accept;
    /// Called with the value of errno, before the pause; may free descriptors.
    /// May be empty.
    std::function<void(int error)> fail;
  };

  /// `log_part` names the part in the log lines about failures. `clock`
  /// outlives the listener.
  TcpListener(Clock& clock, std::string_view log_part, Callbacks callbacks);
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// Listens at `endpoint`; port 0 picks a free one. kUnavailable if the
  /// address cannot be bound.
  Result<void> Bind(event_base* base, const Endpoint& endpoint);

  /// The address that was bound, with the port that was picked.
  const Endpoint& endpoint() const { return endpoint_; }
  int socket() const { return evconnlistener_get_fd(listener_.get()); }

  /// Length of the pause.
  static constexpr Duration kPause = std::chrono::milliseconds(100);

 private:
  static void OnAccept(evconnlistener* listener,
                       evutil_socket_t socket,
                       sockaddr* address,
                       int address_size,
                       void* arg);
  static void OnError(evconnlistener* listener, void* arg);

  void HandleError(int error);

  Clock& clock_;
  RateLimitedLogger log_;
  Callbacks callbacks_;
  Endpoint endpoint_;
  ListenerHandle listener_;
  std::unique_ptr<Timer> pause_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_TCP_LISTENER_H_
