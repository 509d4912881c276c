#ifndef KINGCUPDRIFT_NET_INTERNAL_PEER_CODEC_H_
#define KINGCUPDRIFT_NET_INTERNAL_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Most elements of each list in a received frame; longer lists are refused.
/// The encoder does not check them.
inline constexpr std::size_t kMaxPeerMembers = 4096;
inline constexpr std::size_t kMaxPeerUsageRows = 16384;
/// Configuration documents of a reply, and likewise its head records.
inline constexpr std::size_t kMaxPeerDocuments = 4096;
/// Dispatch notes, work notes, suspects, and helpers of one work note, each.
inline constexpr std::size_t kMaxPeerNotes = 1024;
inline constexpr std::size_t kMaxPeerStoreItems = 16384;

/// Encodes a message as a FlatBuffers frame of peer.fbs.
std::string EncodePeerMessage(const PeerMessage& message);
/// Encodes a heartbeat: a frame without content that shows that a link works.
std::string EncodeHeartbeat();

/// Decodes a frame; absent for a heartbeat. kProtocol if the frame fails the
/// FlatBuffers verifier, exceeds a limit or has an invalid value.
Result<std::optional<PeerMessage>> DecodePeerFrame(std::string_view frame);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_PEER_CODEC_H_
