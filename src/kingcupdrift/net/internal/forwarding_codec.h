#ifndef KINGCUPDRIFT_NET_INTERNAL_FORWARDING_CODEC_H_
#define KINGCUPDRIFT_NET_INTERNAL_FORWARDING_CODEC_H_

#include "kingcupdrift/interfaces/interfaces.h"
#include "peer_generated.h"

namespace kingcupdrift {

/// Parts of peer.fbs that entries exchange about forwarded requests. Decoding
/// fails with kProtocol if a list is too long or a value is out of range.
flatbuffers::Offset<wire::WorkNotes> EncodeWorkNotes(
    flatbuffers::FlatBufferBuilder& builder,
    const WorkNotesMessage& message);
Result<PeerPayload> DecodeWorkNotes(const wire::WorkNotes& table);

flatbuffers::Offset<wire::StoreStateReply> EncodeStoreState(
    flatbuffers::FlatBufferBuilder& builder,
    const StoreStateReplyMessage& message);
Result<PeerPayload> DecodeStoreState(const wire::StoreStateReply& reply);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_FORWARDING_CODEC_H_
