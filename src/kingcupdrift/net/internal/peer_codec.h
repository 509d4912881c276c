#ifndef KINGCUPDRIFT_NET_INTERNAL_PEER_CODEC_H_
#define KINGCUPDRIFT_NET_INTERNAL_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

inline constexpr std::size_t kMaxPeerMembers = 4096;
inline constexpr std::size_t kMaxPeerUsageRows = 16384;
inline constexpr std::size_t kMaxPeerDocuments = 4096;
inline constexpr std::size_t kMaxPeerNotes = 1024;
inline constexpr std::size_t kMaxPeerStoreItems = 16384;

/// A message as a FlatBuffers frame of peer.fbs.
std::string EncodePeerMessage(const PeerMessage& message);
/// A frame without content, by which a link shows that it is live.
std::string EncodeHeartbeat();

/// Reads a frame; absent for a heartbeat. kProtocol if the frame fails the
/// verifier or goes beyond a limit.
Result<std::optional<PeerMessage>> DecodePeerFrame(std::string_view frame);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_PEER_CODEC_H_
