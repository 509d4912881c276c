#include "kingcupdrift/net/internal/peer_codec.h"

#include <utility>
#include <variant>
#include <vector>

#include "kingcupdrift/net/internal/forwarding_codec.h"
#include "kingcupdrift/net/internal/frame_checks.h"
#include "peer_generated.h"

namespace kingcupdrift {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t kInitialFrameBytes = 1024;
constexpr flatbuffers::uoffset_t kMaxFrameDepth = 8;
constexpr flatbuffers::uoffset_t kMaxFrameTables = 32768;

struct EncodedPayload {
  wire::Payload type = wire::Payload::NONE;
  Offset<void> offset;
};

Offset<wire::Member> EncodeMember(FlatBufferBuilder& builder,
                                  const MemberRecord& record) {
  const auto id = builder.CreateString(record.id.value());
  const auto peer = builder.CreateString(ToString(record.peer_endpoint));
  const auto caller = builder.CreateString(ToString(record.caller_endpoint));
  const auto domain = builder.CreateString(record.failure_domain.value());
  return wire::CreateMember(builder, id, record.incarnation.value(),
                            static_cast<wire::MemberState>(record.state), peer,
                            caller, domain, record.generation.value());
}

/// Encodes each type of payload.
struct PayloadEncoder {
  FlatBufferBuilder& builder;

  EncodedPayload operator()(const GossipMessage& message) const {
    std::vector<Offset<wire::Member>> members;
    for (const MemberRecord& it : message.members) {
      members.push_back(EncodeMember(builder, it));
    }
    std::vector<Offset<wire::Usage>> usage;
    for (const WorkspaceUsage& it : message.usage) {
      usage.push_back(
          wire::CreateUsage(builder, builder.CreateString(it.workspace.value()),
                            it.requests, it.tokens));
    }
    const auto gossip = wire::CreateGossip(
        builder, message.is_reply, builder.CreateVector(members),
        message.generation.value(), builder.CreateString(message.head_digest),
        builder.CreateVector(usage));
    return {wire::Payload::Gossip, gossip.Union()};
  }

  EncodedPayload operator()(const ProbeMessage& message) const {
    const auto target = builder.CreateString(message.target.value());
    const auto probe = wire::CreateProbe(builder, message.sequence, target);
    return {wire::Payload::Probe, probe.Union()};
  }

  EncodedPayload operator()(const ProbeReplyMessage& message) const {
    const auto target = builder.CreateString(message.target.value());
    const auto reply = wire::CreateProbeReply(builder, message.sequence, target,
                                              message.incarnation.value());
    return {wire::Payload::ProbeReply, reply.Union()};
  }

  EncodedPayload operator()(const ConfigRequestMessage& message) const {
    const auto request =
        wire::CreateConfigRequest(builder, message.generation.value());
    return {wire::Payload::ConfigRequest, request.Union()};
  }

  EncodedPayload operator()(const ConfigReplyMessage& message) const {
    std::vector<Offset<wire::Document>> documents;
    for (const ConfigDocument& it : message.documents) {
      const auto name = builder.CreateString(it.name);
      const auto text = builder.CreateString(it.text);
      documents.push_back(wire::CreateDocument(builder, name, text));
    }
    const auto reply = wire::CreateConfigReply(
        builder, builder.CreateVectorOfStrings(message.head_records),
        builder.CreateVector(documents));
    return {wire::Payload::ConfigReply, reply.Union()};
  }

  EncodedPayload operator()(const DispatchNotesMessage& message) const {
    std::vector<Offset<wire::DispatchNote>> notes;
    for (const DispatchNote& it : message.notes) {
      const auto engine = builder.CreateString(it.engine.value());
      const auto attempt = builder.CreateString(it.attempt.value());
      notes.push_back(
          wire::CreateDispatchNote(builder, engine, attempt, it.prefill.value(),
                                   it.memory.value(), it.engine_priority));
    }
    const auto table =
        wire::CreateDispatchNotes(builder, builder.CreateVector(notes));
    return {wire::Payload::DispatchNotes, table.Union()};
  }

  EncodedPayload operator()(const WorkNotesMessage& message) const {
    return {wire::Payload::WorkNotes,
            EncodeWorkNotes(builder, message).Union()};
  }

  EncodedPayload operator()(const StoreStateRequestMessage& message) const {
    const auto request = wire::CreateStoreStateRequest(
        builder, message.position.version.value(), message.position.era.value(),
        message.accepts_changes, message.accepts_patches);
    return {wire::Payload::StoreStateRequest, request.Union()};
  }

  EncodedPayload operator()(const StoreStateReplyMessage& message) const {
    return {wire::Payload::StoreStateReply,
            EncodeStoreState(builder, message).Union()};
  }
};

std::string FinishFrame(FlatBufferBuilder& builder,
                        const PeerMessage& header,
                        EncodedPayload payload) {
  const auto sender = builder.CreateString(header.sender.value());
  const auto frame = wire::CreateFrame(
      builder, sender, header.incarnation.value(), header.time.wall_us,
      header.time.logical, payload.type, payload.offset);
  wire::FinishFrameBuffer(builder, frame);
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

// Accepts the empty endpoint: an instance that does not accept callers yet may
// have no address for them.
Result<Endpoint> DecodeEndpoint(const flatbuffers::String* text) {
  if (text->str() == ToString(Endpoint())) {
    return Endpoint();
  }
  return ParseEndpoint(text->str());
}

Result<MemberRecord> DecodeMember(const wire::Member& member) {
  const auto peer = DecodeEndpoint(member.peer_endpoint());
  const auto caller = DecodeEndpoint(member.caller_endpoint());
  if (!peer || !caller || member.state() > wire::MemberState::MAX) {
    return MakeFrameError("a member record is not valid");
  }
  MemberRecord record;
  record.id = InstanceId(member.id()->str());
  record.incarnation = Incarnation(member.incarnation());
  record.state = static_cast<MemberState>(member.state());
  record.peer_endpoint = *peer;
  record.caller_endpoint = *caller;
  record.failure_domain = FailureDomain(member.failure_domain()->str());
  record.generation = Generation(member.generation());
  return record;
}

Result<PeerPayload> DecodeGossip(const wire::Gossip& gossip) {
  if (!IsWithin(gossip.members(), kMaxPeerMembers) ||
      !IsWithin(gossip.usage(), kMaxPeerUsageRows)) {
    return MakeFrameError("a list in the frame is too long");
  }
  GossipMessage message;
  message.is_reply = gossip.is_reply();
  message.generation = Generation(gossip.generation());
  message.head_digest = ToStringOrEmpty(gossip.head_digest());
  if (gossip.members() != nullptr) {
    for (const wire::Member* const it : *gossip.members()) {
      Result<MemberRecord> record = DecodeMember(*it);
      if (!record) {
        return tl::unexpected(record.error());
      }
      message.members.push_back(*std::move(record));
    }
  }
  if (gossip.usage() != nullptr) {
    for (const wire::Usage* const it : *gossip.usage()) {
      message.usage.push_back(
          {WorkspaceId(it->workspace()->str()), it->requests(), it->tokens()});
    }
  }
  return message;
}

Result<PeerPayload> DecodeConfigReply(const wire::ConfigReply& reply) {
  if (!IsWithin(reply.head_records(), kMaxPeerDocuments) ||
      !IsWithin(reply.documents(), kMaxPeerDocuments)) {
    return MakeFrameError("a list in the frame is too long");
  }
  ConfigReplyMessage message;
  if (reply.head_records() != nullptr) {
    for (const flatbuffers::String* const it : *reply.head_records()) {
      message.head_records.push_back(it->str());
    }
  }
  if (reply.documents() != nullptr) {
    for (const wire::Document* const it : *reply.documents()) {
      message.documents.push_back({it->name()->str(), it->text()->str()});
    }
  }
  return message;
}

Result<PeerPayload> DecodeNotes(const wire::DispatchNotes& table) {
  DispatchNotesMessage message;
  if (!IsWithin(table.notes(), kMaxPeerNotes)) {
    return MakeFrameError("a list in the frame is too long");
  }
  if (table.notes() == nullptr) {
    return message;
  }
  for (const wire::DispatchNote* const it : *table.notes()) {
    if (it->prefill() < 0 || it->memory() < 0) {
      return MakeFrameError("a dispatch note is not valid");
    }
    message.notes.push_back({EngineId(it->engine()->str()),
                             AttemptId(it->attempt()->str()),
                             TokenCount(it->prefill()),
                             TokenCount(it->memory()), it->engine_priority()});
  }
  return message;
}

Result<PeerPayload> DecodePayload(const wire::Frame& frame) {
  switch (frame.payload_type()) {
    case wire::Payload::Gossip:
      return DecodeGossip(*frame.payload_as_Gossip());
    case wire::Payload::Probe: {
      const wire::Probe& probe = *frame.payload_as_Probe();
      return ProbeMessage{probe.sequence(),
                          InstanceId(ToStringOrEmpty(probe.target()))};
    }
    case wire::Payload::ProbeReply: {
      const wire::ProbeReply& reply = *frame.payload_as_ProbeReply();
      return ProbeReplyMessage{reply.sequence(),
                               InstanceId(ToStringOrEmpty(reply.target())),
                               Incarnation(reply.incarnation())};
    }
    case wire::Payload::ConfigRequest:
      return ConfigRequestMessage{
          Generation(frame.payload_as_ConfigRequest()->generation())};
    case wire::Payload::ConfigReply:
      return DecodeConfigReply(*frame.payload_as_ConfigReply());
    case wire::Payload::DispatchNotes:
      return DecodeNotes(*frame.payload_as_DispatchNotes());
    case wire::Payload::WorkNotes:
      return DecodeWorkNotes(*frame.payload_as_WorkNotes());
    case wire::Payload::StoreStateRequest:
      return DecodeStoreStateRequest(*frame.payload_as_StoreStateRequest());
    case wire::Payload::StoreStateReply:
      return DecodeStoreState(*frame.payload_as_StoreStateReply());
    default:
      break;
  }
  return MakeFrameError("the frame's payload type is unknown");
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  FlatBufferBuilder builder(kInitialFrameBytes);
  const EncodedPayload payload =
      std::visit(PayloadEncoder{builder}, message.payload);
  return FinishFrame(builder, message, payload);
}

std::string EncodeHeartbeat() {
  FlatBufferBuilder builder(kInitialFrameBytes);
  const auto heartbeat = wire::CreateHeartbeat(builder);
  return FinishFrame(builder, PeerMessage(),
                     {wire::Payload::Heartbeat, heartbeat.Union()});
}

Result<std::optional<PeerMessage>> DecodePeerFrame(std::string_view frame) {
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(frame.data());
  flatbuffers::Verifier verifier(bytes, frame.size(), kMaxFrameDepth,
                                 kMaxFrameTables);
  if (!wire::VerifyFrameBuffer(verifier)) {
    return MakeFrameError("the frame is not well-formed");
  }
  const wire::Frame& root = *wire::GetFrame(bytes);
  if (root.payload_type() == wire::Payload::Heartbeat) {
    return std::nullopt;
  }
  Result<PeerPayload> payload = DecodePayload(root);
  if (!payload) {
    return tl::unexpected(payload.error());
  }
  PeerMessage message;
  message.sender = InstanceId(root.sender()->str());
  message.incarnation = Incarnation(root.incarnation());
  message.time = {root.wall_us(), root.logical()};
  message.payload = *std::move(payload);
  return message;
}

}  // namespace kingcupdrift
