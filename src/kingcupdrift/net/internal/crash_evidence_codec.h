#ifndef KINGCUPDRIFT_NET_INTERNAL_CRASH_EVIDENCE_CODEC_H_
#define KINGCUPDRIFT_NET_INTERNAL_CRASH_EVIDENCE_CODEC_H_

#include "kingcupdrift/interfaces/interfaces.h"
#include "peer_generated.h"

namespace kingcupdrift {

using WireCrashes = flatbuffers::Vector<flatbuffers::Offset<wire::EngineCrash>>;
using WirePartSuccesses =
    flatbuffers::Vector<flatbuffers::Offset<wire::PromptPartSuccess>>;
using WireSurvivals =
    flatbuffers::Vector<flatbuffers::Offset<wire::EngineSurvival>>;

flatbuffers::Offset<WireCrashes> EncodeCrashes(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<EngineCrash>& crashes);
flatbuffers::Offset<WirePartSuccesses> EncodePartSuccesses(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<WorkSuccess>& successes);

flatbuffers::Offset<WireSurvivals> EncodeSurvivals(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<EngineSurvival>& survivals);

/// kProtocol: a list is too long or an age is negative.
Result<CrashEvidence> DecodeCrashEvidence(const wire::WorkNotes& table);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_CRASH_EVIDENCE_CODEC_H_
