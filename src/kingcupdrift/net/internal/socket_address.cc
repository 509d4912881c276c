#include "kingcupdrift/net/internal/socket_address.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace kingcupdrift {

std::optional<SocketAddress> ToSocketAddress(const Endpoint& endpoint) {
  SocketAddress out;
  auto* const v4 = reinterpret_cast<sockaddr_in*>(&out.storage);
  if (inet_pton(AF_INET, endpoint.host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    out.size = sizeof(sockaddr_in);
    return out;
  }
  auto* const v6 = reinterpret_cast<sockaddr_in6*>(&out.storage);
  if (inet_pton(AF_INET6, endpoint.host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(endpoint.port);
    out.size = sizeof(sockaddr_in6);
    return out;
  }
  return std::nullopt;
}

std::uint16_t GetLocalPort(int socket) {
  SocketAddress address;
  socklen_t size = sizeof(address.storage);
  if (getsockname(socket, address.get(), &size) != 0) {
    return 0;
  }
  if (address.storage.ss_family == AF_INET6) {
    return ntohs(
        reinterpret_cast<const sockaddr_in6*>(&address.storage)->sin6_port);
  }
  return ntohs(
      reinterpret_cast<const sockaddr_in*>(&address.storage)->sin_port);
}

void DisableSendDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void SetMaxUnsentBytes(int socket, ByteCount bytes) {
  const int value = static_cast<int>(bytes.value());
  setsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &value, sizeof(value));
}

ByteCount GetUnacknowledgedBytes(int socket) {
  int bytes = 0;
  return ByteCount(ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0);
}

ByteCount GetArrivedBytes(int socket) {
  int bytes = 0;
  return ByteCount(ioctl(socket, FIONREAD, &bytes) == 0 ? bytes : 0);
}

void SetReceiveBuffer(int socket, ByteCount bytes) {
  const int value = static_cast<int>(bytes.value());
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value));
}

bool IsPeerClosed(int socket) {
  pollfd state{socket, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

short FindReadyDirection(int socket, short events) {
  if ((events & BEV_EVENT_TIMEOUT) == 0) {
    return 0;
  }
  const bool is_reading = (events & BEV_EVENT_READING) != 0;
  pollfd state{socket, static_cast<short>(is_reading ? POLLIN : POLLOUT), 0};
  if (poll(&state, 1, 0) <= 0) {
    return 0;
  }
  return is_reading ? EV_READ : EV_WRITE;
}

void SetResetOnClose(int socket) {
  const linger at_once{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

}  // namespace kingcupdrift
