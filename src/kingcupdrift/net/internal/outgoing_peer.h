#ifndef KINGCUPDRIFT_NET_INTERNAL_OUTGOING_PEER_H_
#define KINGCUPDRIFT_NET_INTERNAL_OUTGOING_PEER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/net/internal/peer_channel.h"
#include "kingcupdrift/net/tcp_peer_link.h"

namespace kingcupdrift {

/// State shared by the outgoing and incoming connections of one TcpPeerLink.
struct PeerContext {
  EventLoop& loop;
  Clock& clock;
  Random& random;
  PeerLinkSettings settings;
  PeerLinkCounters counters;
};

/// The outgoing connection to one peer. It connects when there is a frame to
/// send, exchanges heartbeats, and closes a connection that exceeds the
/// inactivity timeout; a later `Send` connects again.
class OutgoingPeer {
 public:
  OutgoingPeer(PeerContext& context, const Endpoint& peer);
  OutgoingPeer(const OutgoingPeer&) = delete;
  OutgoingPeer& operator=(const OutgoingPeer&) = delete;

  /// Sends a frame, or queues it while connecting. Drops it if the queue is
  /// full or during the backoff after a failure.
  void Send(std::string frame);
  /// True if the connection was idle for `max_idle_time` and is not in a
  /// backoff, so that it may be deleted.
  bool IsExpired() const;

 private:
  static void HandleRead(bufferevent* stream, void* arg);
  static void HandleEvent(bufferevent* stream, short what, void* arg);

  void Connect();
  void Open();
  void TakeFrames();
  void HandleHeartbeatTimer();
  void ScheduleHeartbeat();
  /// Closes the connection and starts the backoff, during which `Send` does not
  /// connect.
  void Fail();
  void Close();

  PeerContext& context_;
  Endpoint peer_;
  std::optional<PeerChannel> channel_;
  bool is_open_ = false;
  std::vector<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  Duration backoff_{0};
  MonotonicTime next_connect_{};
  MonotonicTime last_send_time_{};
  MonotonicTime last_receive_time_{};
  MonotonicTime heartbeat_due_{};
  std::unique_ptr<Timer> heartbeat_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_OUTGOING_PEER_H_
