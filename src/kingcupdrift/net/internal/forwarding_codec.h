#ifndef KINGCUPDRIFT_NET_INTERNAL_FORWARDING_CODEC_H_
#define KINGCUPDRIFT_NET_INTERNAL_FORWARDING_CODEC_H_

#include "kingcupdrift/interfaces/interfaces.h"
#include "peer_generated.h"

namespace kingcupdrift {

/// Work notes, which describe the load of forwarded requests. Decoding fails
/// with kProtocol if a list is too long, `held` and `helpers` differ in length,
/// a phase is unknown, or `prompt`, `output` or `part_prefill_time` is
/// negative, or the store's era is negative; `held` tokens and `max_event_gap`
/// are not checked.
flatbuffers::Offset<wire::WorkNotes> EncodeWorkNotes(
    flatbuffers::FlatBufferBuilder& builder,
    const WorkNotesMessage& message);
Result<PeerPayload> DecodeWorkNotes(const wire::WorkNotes& table);

PeerPayload DecodeStoreStateRequest(const wire::StoreStateRequest& request);

/// An entry's (serving process's) copy of the platform store's state, sent on
/// request. Decoding fails with kProtocol if the list is too long or the era is
/// negative.
flatbuffers::Offset<wire::StoreStateReply> EncodeStoreState(
    flatbuffers::FlatBufferBuilder& builder,
    const StoreStateReplyMessage& message);
Result<PeerPayload> DecodeStoreState(const wire::StoreStateReply& reply);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_FORWARDING_CODEC_H_
