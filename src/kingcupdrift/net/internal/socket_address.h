#ifndef KINGCUPDRIFT_NET_INTERNAL_SOCKET_ADDRESS_H_
#define KINGCUPDRIFT_NET_INTERNAL_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <optional>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

struct SocketAddress {
  sockaddr_storage storage{};
  int size = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Absent if the host is no IP number. Port 0 is allowed.
std::optional<SocketAddress> ToSocketAddress(const Endpoint& endpoint);

/// Port that a socket is bound to; 0 on failure.
std::uint16_t LocalPort(int socket);

/// Sends small writes at once.
void DisableSendDelay(int socket);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_SOCKET_ADDRESS_H_
