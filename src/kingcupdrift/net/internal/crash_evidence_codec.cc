#include "kingcupdrift/net/internal/crash_evidence_codec.h"

#include <utility>

#include "kingcupdrift/net/internal/frame_checks.h"
#include "kingcupdrift/net/internal/peer_codec.h"

namespace kingcupdrift {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<wire::EngineCrash> EncodeCrash(FlatBufferBuilder& builder,
                                      const EngineCrash& crash) {
  std::vector<Offset<wire::SuspectPart>> suspects;
  suspects.reserve(crash.suspects.size());
  for (const SuspectWork& it : crash.suspects) {
    suspects.push_back(
        wire::CreateSuspectPart(builder, builder.CreateString(it.key.value()),
                                static_cast<std::uint32_t>(it.position)));
  }
  const auto engine = builder.CreateString(crash.engine.value());
  return wire::CreateEngineCrash(builder, engine, crash.incarnation.value(),
                                 crash.age.count(),
                                 builder.CreateVector(suspects));
}

Result<EngineCrash> DecodeCrash(const wire::EngineCrash& crash) {
  if (crash.age_us() < 0 || !IsWithin(crash.suspects(), kMaxPeerNotes)) {
    return MakeFrameError("an engine's crash is not valid");
  }
  EngineCrash out;
  out.engine = EngineId(crash.engine()->str());
  out.incarnation = Incarnation(crash.incarnation());
  out.age = Duration(crash.age_us());
  if (crash.suspects() != nullptr) {
    for (const wire::SuspectPart* const it : *crash.suspects()) {
      out.suspects.push_back({WorkKey(it->part()->str()), it->position()});
    }
  }
  return out;
}

}  // namespace

Offset<WireCrashes> EncodeCrashes(FlatBufferBuilder& builder,
                                  const std::vector<EngineCrash>& crashes) {
  std::vector<Offset<wire::EngineCrash>> out;
  out.reserve(crashes.size());
  for (const EngineCrash& it : crashes) {
    out.push_back(EncodeCrash(builder, it));
  }
  return builder.CreateVector(out);
}

Offset<WirePartSuccesses> EncodePartSuccesses(
    FlatBufferBuilder& builder,
    const std::vector<WorkSuccess>& successes) {
  std::vector<Offset<wire::PromptPartSuccess>> out;
  out.reserve(successes.size());
  for (const WorkSuccess& it : successes) {
    out.push_back(wire::CreatePromptPartSuccess(
        builder, builder.CreateString(it.key.value()), it.age.count()));
  }
  return builder.CreateVector(out);
}

Offset<WireSurvivals> EncodeSurvivals(
    FlatBufferBuilder& builder,
    const std::vector<EngineSurvival>& survivals) {
  std::vector<Offset<wire::EngineSurvival>> out;
  out.reserve(survivals.size());
  for (const EngineSurvival& it : survivals) {
    out.push_back(wire::CreateEngineSurvival(
        builder, builder.CreateString(it.engine.value()),
        it.incarnation.value(), it.age.count()));
  }
  return builder.CreateVector(out);
}

Result<CrashEvidence> DecodeCrashEvidence(const wire::WorkNotes& table) {
  if (!IsWithin(table.crashes(), kMaxPeerNotes) ||
      !IsWithin(table.part_successes(), kMaxPeerNotes) ||
      !IsWithin(table.survivals(), kMaxPeerNotes)) {
    return MakeFrameError("a list in the frame is too long");
  }
  CrashEvidence evidence;
  if (table.crashes() != nullptr) {
    for (const wire::EngineCrash* const it : *table.crashes()) {
      Result<EngineCrash> crash = DecodeCrash(*it);
      if (!crash) {
        return tl::unexpected(crash.error());
      }
      evidence.crashes.push_back(*std::move(crash));
    }
  }
  if (table.part_successes() != nullptr) {
    for (const wire::PromptPartSuccess* const it : *table.part_successes()) {
      if (it->age_us() < 0) {
        return MakeFrameError("the age of a success is negative");
      }
      evidence.successes.push_back(
          {WorkKey(it->part()->str()), Duration(it->age_us())});
    }
  }
  if (table.survivals() != nullptr) {
    for (const wire::EngineSurvival* const it : *table.survivals()) {
      if (it->age_us() < 0) {
        return MakeFrameError("the age of an engine's answer is negative");
      }
      evidence.survivals.push_back({EngineId(it->engine()->str()),
                                    Incarnation(it->incarnation()),
                                    Duration(it->age_us())});
    }
  }
  return evidence;
}

}  // namespace kingcupdrift
