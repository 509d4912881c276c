#ifndef KINGCUPDRIFT_NET_TCP_PEER_LINK_H_
#define KINGCUPDRIFT_NET_TCP_PEER_LINK_H_

#include <cstdint>
#include <memory>
#include <string>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/event_loop.h"

namespace kingcupdrift {

struct PeerLinkSettings {
  Endpoint endpoint;
  std::string shared_secret;
  /// Larger frames close the connection. Above the store's largest value, so
  /// that any configuration document fits.
  ByteCount max_frame_bytes{4'000'000};
  /// Frames beyond this many unsent bytes are dropped.
  ByteCount max_queued_bytes{8'000'000};
  /// A link in use exchanges heartbeats this often.
  Duration heartbeat_interval = std::chrono::seconds(1);
  /// A link is replaced after this long without an answer.
  Duration inactivity_timeout = std::chrono::seconds(3);
  /// An outgoing link without messages for this long is closed.
  Duration max_idle_time = std::chrono::seconds(5);
  std::size_t max_incoming = 1024;
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(5);
};

struct PeerLinkCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  /// Frames dropped because a queue was full or the peer was out of reach.
  std::uint64_t frames_dropped = 0;
  /// Frames refused: bad authentication, not well-formed, or too large.
  std::uint64_t frames_refused = 0;
  std::uint64_t reconnects = 0;
};

/// Links between entries: authenticated FlatBuffers frames over TCP.
class TcpPeerLink : public PeerLink {
 public:
  /// Listens for peers. kUnavailable if the address cannot be bound.
  static Result<std::unique_ptr<TcpPeerLink>> Listen(
      EventLoop& loop,
      Clock& clock,
      Random& random,
      const PeerLinkSettings& settings);

  /// The address in use, with the real port.
  virtual Endpoint endpoint() const = 0;
  virtual const PeerLinkCounters& counters() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_TCP_PEER_LINK_H_
