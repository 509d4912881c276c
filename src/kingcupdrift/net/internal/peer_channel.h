#ifndef KINGCUPDRIFT_NET_INTERNAL_PEER_CHANNEL_H_
#define KINGCUPDRIFT_NET_INTERNAL_PEER_CHANNEL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupdrift/net/internal/libevent_handles.h"
#include "kingcupdrift/net/tcp_peer_link.h"

namespace kingcupdrift {

enum class ChannelSide { kConnecting, kAccepting };

/// Authenticated frames over one connection. On the wire a frame is its length
/// (4 bytes, little endian), an authentication code (32 bytes) and the bytes.
/// The code covers the accepting side's nonce, which opens the connection, the
/// direction and the frame's number, so that no frame can be replayed.
class PeerChannel {
 public:
  static constexpr std::size_t kNonceBytes = 32;

  PeerChannel(BuffereventHandle stream,
              ChannelSide side,
              const PeerLinkSettings& settings,
              PeerLinkCounters& counters);

  bufferevent* stream() const { return stream_.get(); }
  bool IsReady() const { return !nonce_.empty(); }

  /// Accepting side: opens the connection with a fresh nonce.
  void SendNonce(const std::string& nonce);
  /// Connecting side: takes the nonce once it has arrived.
  void TakeNonce();

  /// Sends a frame; false if the queue is full.
  bool SendFrame(std::string_view frame);
  /// The next whole frame, if one has arrived. An error means that the
  /// connection must be closed.
  Result<std::optional<std::string>> TakeFrame();

 private:
  std::string ComputeMac(ChannelSide sender,
                         std::uint64_t number,
                         std::string_view frame) const;

  BuffereventHandle stream_;
  ChannelSide side_;
  const PeerLinkSettings& settings_;
  PeerLinkCounters& counters_;
  std::string nonce_;
  std::uint64_t sent_frames_ = 0;
  std::uint64_t received_frames_ = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_PEER_CHANNEL_H_
