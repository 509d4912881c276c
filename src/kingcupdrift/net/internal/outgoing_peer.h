#ifndef KINGCUPDRIFT_NET_INTERNAL_OUTGOING_PEER_H_
#define KINGCUPDRIFT_NET_INTERNAL_OUTGOING_PEER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/net/internal/peer_channel.h"
#include "kingcupdrift/net/tcp_peer_link.h"

namespace kingcupdrift {

/// What all links of one process share.
struct PeerContext {
  EventLoop& loop;
  Clock& clock;
  Random& random;
  PeerLinkSettings settings;
  PeerLinkCounters counters;
};

/// The link to one peer. It connects when there is something to send, shows by
/// heartbeats that it is live, and is replaced when it goes silent.
class OutgoingPeer {
 public:
  OutgoingPeer(PeerContext& context, const Endpoint& peer);
  OutgoingPeer(const OutgoingPeer&) = delete;
  OutgoingPeer& operator=(const OutgoingPeer&) = delete;

  /// Sends or queues a frame; drops it while a failed connect backs off.
  void Send(std::string frame);
  /// No message for `max_idle_time`, and no backoff to remember.
  bool IsExpired() const;

 private:
  static void HandleRead(bufferevent* stream, void* arg);
  static void HandleEvent(bufferevent* stream, short what, void* arg);

  void Connect();
  void Open();
  void TakeFrames();
  void HandleHeartbeatTimer();
  void ScheduleHeartbeat();
  /// Closes the connection; a connect is tried again after the backoff.
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
  std::unique_ptr<Timer> heartbeat_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_OUTGOING_PEER_H_
