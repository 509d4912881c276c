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

/// Absent if the host is not an IPv4 or IPv6 address. Port 0 is allowed.
std::optional<SocketAddress> ToSocketAddress(const Endpoint& endpoint);

/// Returns the port that a socket is bound to; 0 on failure.
std::uint16_t GetLocalPort(int socket);

/// Disables Nagle's algorithm, so that small writes are sent at once.
void DisableSendDelay(int socket);

/// Limits the bytes that the kernel holds before it sends them, apart from
/// those in flight.
void SetMaxUnsentBytes(int socket, ByteCount bytes);

/// Returns the bytes in the kernel that the other side has not acknowledged; 0
/// on failure.
ByteCount GetUnacknowledgedBytes(int socket);

/// Returns the bytes that the kernel has received and that were not read; 0 on
/// failure.
ByteCount GetArrivedBytes(int socket);

/// Sets the bytes that the kernel receives before they are read; it may take
/// twice as many.
void SetReceiveBuffer(int socket, ByteCount bytes);

/// True if the other side has closed or reset the connection, also while bytes
/// are unread.
bool IsPeerClosed(int socket);

/// For the events of a bufferevent: EV_READ or EV_WRITE if a timeout has passed
/// although the socket can be read or written, as after a stop of the process;
/// otherwise 0.
short FindReadyDirection(int socket, short events);

/// Makes closing the socket drop its unsent bytes and reset the connection.
void SetResetOnClose(int socket);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_SOCKET_ADDRESS_H_
