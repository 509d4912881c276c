#include "kingcupdrift/net/internal/tcp_listener.h"

#include <optional>
#include <utility>

#include "kingcupdrift/net/internal/socket_address.h"

namespace kingcupdrift {

TcpListener::TcpListener(Clock& clock,
                         std::string_view log_part,
                         Callbacks callbacks)
    : clock_(clock), log_(log_part, clock), callbacks_(std::move(callbacks)) {}

Result<void> TcpListener::Bind(event_base* base, const Endpoint& endpoint) {
  std::optional<SocketAddress> address = ToSocketAddress(endpoint);
  if (address) {
    listener_.reset(evconnlistener_new_bind(
        base, &OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        address->get(), address->size));
  }
  if (!listener_) {
    return MakeError(ErrorCode::kUnavailable,
                     "cannot listen at " + ToString(endpoint));
  }
  evconnlistener_set_error_cb(listener_.get(), &OnError);
  endpoint_ = {endpoint.host, GetLocalPort(socket())};
  return {};
}

void TcpListener::OnAccept(evconnlistener*,
                           evutil_socket_t socket,
                           sockaddr*,
                           int,
                           void* arg) {
  static_cast<TcpListener*>(arg)->callbacks_.accept(socket);
}

void TcpListener::OnError(evconnlistener*, void* arg) {
  static_cast<TcpListener*>(arg)->HandleError(EVUTIL_SOCKET_ERROR());
}

void TcpListener::HandleError(int error) {
  log_.Warning("accept", "Cannot accept a connection: {}.",
               evutil_socket_error_to_string(error));
  if (callbacks_.fail) {
    callbacks_.fail(error);
  }
  evconnlistener_disable(listener_.get());
  pause_timer_ = clock_.RunAfter(
      kPause, [this] { evconnlistener_enable(listener_.get()); });
}

}  // namespace kingcupdrift
