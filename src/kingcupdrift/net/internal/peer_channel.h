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

/// Sends and receives authenticated frames over one connection. On the wire a
/// frame is its length (4 bytes, little endian), an HMAC (32 bytes) and its
/// content. The HMAC covers the content, the nonce that the accepting side
/// sends first, the direction and the frame's number, so that a recorded frame
/// cannot be replayed.
class PeerChannel {
 public:
  static constexpr std::size_t kNonceBytes = 32;

  PeerChannel(BuffereventHandle stream,
              ChannelSide side,
              const PeerLinkSettings& settings,
              PeerLinkCounters& counters);

  bufferevent* stream() const { return stream_.get(); }
  bool IsReady() const { return !nonce_.empty(); }

  /// Accepting side: sends `nonce`, which must be new for each connection.
  void SendNonce(const std::string& nonce);
  /// Connecting side: reads the nonce if it has arrived.
  void TakeNonce();

  /// Sends a frame; drops it and returns false if the send buffer is full.
  bool SendFrame(std::string_view frame);
  /// Takes the next frame if it has arrived completely. After an error the
  /// connection must be closed: kProtocol for a frame that is too large,
  /// kUnauthorized for one with a wrong HMAC.
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
