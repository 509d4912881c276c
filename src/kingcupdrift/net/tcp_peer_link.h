#ifndef KINGCUPDRIFT_NET_TCP_PEER_LINK_H_
#define KINGCUPDRIFT_NET_TCP_PEER_LINK_H_

#include <cstdint>
#include <memory>
#include <string>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/event_loop.h"

namespace kingcupdrift {

struct PeerLinkSettings {
  /// Address to listen at; the host must be an IP address.
  Endpoint endpoint;
  std::string shared_secret;
  /// A larger frame closes its connection. The limit exceeds the store's
  /// largest value, so that any configuration document fits. The first frame of
  /// a connection has a lower limit of 1024 bytes.
  ByteCount max_frame_bytes{4'000'000};
  /// Frames that would exceed this many unsent bytes on one connection are
  /// dropped.
  ByteCount max_queued_bytes{8'000'000};
  /// Interval of the heartbeats on an open outgoing connection.
  Duration heartbeat_interval = std::chrono::seconds(1);
  /// A connection is closed, and its queue dropped, after this long without a
  /// frame (outgoing) or a byte (incoming) from the peer. The next `Send` after
  /// the backoff opens a new one.
  Duration inactivity_timeout = std::chrono::seconds(3);
  /// An outgoing connection is closed after this long without messages to send.
  Duration max_idle_time = std::chrono::seconds(5);
  /// Most open connections from peers; further ones are closed at once.
  std::size_t max_incoming = 1024;
  /// Wait after a failed connection, times a random factor of 0.5 to 1; each
  /// further failure doubles it, up to `max_backoff`.
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(5);
};

struct PeerLinkCounters {
  /// Counted when put into the send buffer; frame headers and nonces included.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Counted when put into the send buffer, heartbeats included.
  std::uint64_t frames_sent = 0;
  /// Authenticated frames, heartbeats included, also if later refused.
  std::uint64_t frames_received = 0;
  /// Frames dropped because a queue was full or the peer was unreachable.
  std::uint64_t frames_dropped = 0;
  /// Received frames that failed authentication, were malformed or too large.
  std::uint64_t frames_refused = 0;
  /// Failures of outgoing connections: not opened, lost or timed out. A new
  /// connection need not follow.
  std::uint64_t failed_connections = 0;
};

/// Sends messages between entries (serving processes) as authenticated
/// FlatBuffers frames over TCP.
class TcpPeerLink : public PeerLink {
 public:
  /// Listens for peers. kUnavailable if the address cannot be bound.
  static Result<std::unique_ptr<TcpPeerLink>> Listen(
      EventLoop& loop,
      Clock& clock,
      Random& random,
      const PeerLinkSettings& settings);

  /// The address that the link listens at, with the port that was picked.
  virtual Endpoint endpoint() const = 0;
  virtual const PeerLinkCounters& counters() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_TCP_PEER_LINK_H_
