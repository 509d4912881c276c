#include "kingcupdrift/net/internal/forwarding_codec.h"

#include <string>
#include <utility>
#include <vector>

#include "kingcupdrift/net/internal/crash_evidence_codec.h"
#include "kingcupdrift/net/internal/frame_checks.h"
#include "kingcupdrift/net/internal/peer_codec.h"

namespace kingcupdrift {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

using WireTexts = flatbuffers::Vector<Offset<flatbuffers::String>>;

Offset<WireTexts> EncodeEngines(FlatBufferBuilder& builder,
                                const std::vector<EngineId>& engines) {
  std::vector<Offset<flatbuffers::String>> names;
  names.reserve(engines.size());
  for (const EngineId& it : engines) {
    names.push_back(builder.CreateString(it.value()));
  }
  return builder.CreateVector(names);
}

std::vector<EngineId> DecodeEngines(const WireTexts* names) {
  std::vector<EngineId> engines;
  if (names != nullptr) {
    for (const flatbuffers::String* const it : *names) {
      engines.emplace_back(it->str());
    }
  }
  return engines;
}

Offset<wire::WorkNote> EncodeWorkNote(FlatBufferBuilder& builder,
                                      const WorkNote& note) {
  const auto attempt = builder.CreateString(note.attempt.value());
  const auto engine = builder.CreateString(note.engine.value());
  const auto helper_list = EncodeEngines(builder, note.helpers);
  std::vector<std::int64_t> held;
  for (const TokenCount it : note.held) {
    held.push_back(it.value());
  }
  const auto held_list = builder.CreateVector(held);
  return wire::CreateWorkNote(
      builder, attempt, static_cast<wire::WorkPhase>(note.phase), engine,
      helper_list, note.prompt.value(), note.output.value(),
      note.max_event_gap.count(), note.part_prefill_time.count(), held_list);
}

Result<WorkNote> DecodeWorkNote(const wire::WorkNote& note) {
  if (note.phase() > wire::WorkPhase::MAX || note.prompt() < 0 ||
      note.output() < 0 || note.part_time_us() < 0 ||
      !IsWithin(note.helpers(), kMaxPeerNotes)) {
    return MakeFrameError("a work note is not valid");
  }
  WorkNote out;
  out.attempt = AttemptId(note.attempt()->str());
  out.phase = static_cast<WorkPhase>(note.phase());
  out.engine = EngineId(ToStringOrEmpty(note.engine()));
  out.helpers = DecodeEngines(note.helpers());
  const std::size_t held = note.held() == nullptr ? 0 : note.held()->size();
  if (held != 0 && held != out.helpers.size()) {
    return MakeFrameError("a work note is not valid");
  }
  for (std::size_t i = 0; i < held; ++i) {
    out.held.emplace_back(note.held()->Get(static_cast<unsigned>(i)));
  }
  out.prompt = TokenCount(note.prompt());
  out.output = TokenCount(note.output());
  out.max_event_gap = Duration(note.pause_limit_us());
  out.part_prefill_time = Duration(note.part_time_us());
  return out;
}

Offset<flatbuffers::Vector<Offset<wire::EngineLimit>>> EncodeLimits(
    FlatBufferBuilder& builder,
    const std::vector<EngineLimit>& limits) {
  std::vector<Offset<wire::EngineLimit>> out;
  out.reserve(limits.size());
  for (const EngineLimit& it : limits) {
    flatbuffers::Optional<double> rate;
    if (it.requests_per_second) {
      rate = *it.requests_per_second;
    }
    out.push_back(wire::CreateEngineLimit(
        builder, builder.CreateString(it.engine.value()),
        it.incarnation.value(), rate, it.age.count()));
  }
  return builder.CreateVector(out);
}

Result<std::vector<EngineLimit>> DecodeLimits(const wire::WorkNotes& table) {
  std::vector<EngineLimit> limits;
  if (table.limits() == nullptr) {
    return limits;
  }
  for (const wire::EngineLimit* const it : *table.limits()) {
    EngineLimit limit{EngineId(it->engine()->str()),
                      Incarnation(it->incarnation()), std::nullopt,
                      Duration(it->age_us())};
    if (const auto rate = it->requests_per_second()) {
      limit.requests_per_second = *rate;
    }
    if (limit.age < Duration::zero() ||
        !(limit.requests_per_second.value_or(0) >= 0)) {
      return MakeFrameError("an engine's limit is not valid");
    }
    limits.push_back(std::move(limit));
  }
  return limits;
}

using WireItems = flatbuffers::Vector<Offset<wire::StoreStateItem>>;

std::string ToBytes(const flatbuffers::Vector<std::uint8_t>& bytes) {
  return {bytes.begin(), bytes.end()};
}

std::vector<StoreStateItem> DecodeStateItems(const WireItems* items) {
  std::vector<StoreStateItem> out;
  if (items == nullptr) {
    return out;
  }
  for (const wire::StoreStateItem* const it : *items) {
    StoreStateItem item;
    item.key = it->key()->str();
    item.version = StoreVersion(it->version());
    if (it->has_value() && it->value() != nullptr) {
      item.value = ToBytes(*it->value());
    }
    out.push_back(std::move(item));
  }
  return out;
}

Offset<WireItems> EncodeStateItems(FlatBufferBuilder& builder,
                                   const std::vector<StoreStateItem>& list) {
  std::vector<Offset<wire::StoreStateItem>> items;
  items.reserve(list.size());
  for (const StoreStateItem& it : list) {
    const auto key = builder.CreateString(it.key);
    const std::string_view value = it.value ? *it.value : std::string_view();
    const auto bytes = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
    items.push_back(wire::CreateStoreStateItem(builder, key, it.version.value(),
                                               bytes, it.value.has_value()));
  }
  return builder.CreateVector(items);
}

Result<void> DecodePatchedChanges(const wire::PatchedChanges& table,
                                  StoreStateReplyMessage& out) {
  if (!IsWithin(table.items(), kMaxPeerStoreItems) ||
      !IsWithin(table.patches(), kMaxPeerStoreItems)) {
    return MakeFrameError("a list in the frame is too long");
  }
  out.changes_after = {out.position.era, StoreVersion(table.base_version())};
  out.items = DecodeStateItems(table.items());
  out.has_omissions = table.has_omissions();
  if (table.patches() == nullptr) {
    return {};
  }
  for (const wire::StoreStatePatch* const it : *table.patches()) {
    if (it->data() == nullptr) {
      return MakeFrameError("a patch has no data");
    }
    out.patches.push_back({it->key()->str(), StoreVersion(it->base_version()),
                           StoreVersion(it->version()), ToBytes(*it->data())});
  }
  return {};
}

Offset<wire::PatchedChanges> EncodePatchedChanges(
    FlatBufferBuilder& builder,
    const StoreStateReplyMessage& message) {
  std::vector<Offset<wire::StoreStatePatch>> patches;
  patches.reserve(message.patches.size());
  for (const StoreStatePatch& it : message.patches) {
    const auto key = builder.CreateString(it.key);
    const auto data = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(it.data.data()), it.data.size());
    patches.push_back(wire::CreateStoreStatePatch(builder, key, it.base.value(),
                                                  it.version.value(), data));
  }
  return wire::CreatePatchedChanges(
      builder, message.changes_after.value_or(StorePosition()).version.value(),
      EncodeStateItems(builder, message.items), builder.CreateVector(patches),
      message.has_omissions);
}

Result<StoreStateReplyMessage> DecodeStateReply(
    const wire::StoreStateReply& reply) {
  if (!IsWithin(reply.items(), kMaxPeerStoreItems)) {
    return MakeFrameError("a list in the frame is too long");
  }
  StoreStateReplyMessage message;
  message.position = {StoreEra(reply.era()), StoreVersion(reply.version())};
  message.is_settling = reply.is_settling();
  if (reply.has_changes_only()) {
    message.changes_after = {message.position.era,
                             StoreVersion(reply.base_version())};
  }
  if (message.position.era < StoreEra()) {
    return MakeFrameError("the era of the store is negative");
  }
  message.items = DecodeStateItems(reply.items());
  if (reply.patched() != nullptr) {
    if (const Result<void> read =
            DecodePatchedChanges(*reply.patched(), message);
        !read) {
      return tl::unexpected(read.error());
    }
  }
  return message;
}

}  // namespace

Offset<wire::StoreStateReply> EncodeStoreState(
    FlatBufferBuilder& builder,
    const StoreStateReplyMessage& message) {
  if (!message.patches.empty() || message.has_omissions) {
    const auto patched = EncodePatchedChanges(builder, message);
    return wire::CreateStoreStateReply(
        builder, message.position.version.value(), 0,
        message.position.era.value(), true, message.position.version.value(),
        message.is_settling, patched);
  }
  return wire::CreateStoreStateReply(
      builder, message.position.version.value(),
      EncodeStateItems(builder, message.items), message.position.era.value(),
      message.changes_after.has_value(),
      message.changes_after.value_or(StorePosition()).version.value(),
      message.is_settling);
}

Offset<wire::WorkNotes> EncodeWorkNotes(FlatBufferBuilder& builder,
                                        const WorkNotesMessage& message) {
  std::vector<Offset<wire::WorkNote>> notes;
  for (const WorkNote& it : message.notes) {
    notes.push_back(EncodeWorkNote(builder, it));
  }
  std::vector<Offset<wire::LeavingEngine>> leaving;
  for (const LeavingEngine& it : message.leaving_engines) {
    leaving.push_back(wire::CreateLeavingEngine(
        builder, builder.CreateString(it.engine.value()),
        it.incarnation.value()));
  }
  Offset<wire::StoreStateReply> changes;
  if (message.store_changes) {
    changes = EncodeStoreState(builder, *message.store_changes);
  }
  const auto table = wire::CreateWorkNotes(
      builder, builder.CreateVector(notes), message.is_leaving,
      message.store_position.version.value(), message.has_store,
      message.is_complete, message.wants_complete,
      EncodeEngines(builder, message.suspects),
      message.store_position.era.value(), builder.CreateVector(leaving),
      changes, message.requests_per_second,
      EncodeCrashes(builder, message.crash_evidence.crashes),
      EncodePartSuccesses(builder, message.crash_evidence.successes),
      EncodeLimits(builder, message.limits), message.is_cut_off,
      EncodeSurvivals(builder, message.crash_evidence.survivals));
  return table;
}

Result<PeerPayload> DecodeWorkNotes(const wire::WorkNotes& table) {
  if (!IsWithin(table.notes(), kMaxPeerNotes) ||
      !IsWithin(table.suspects(), kMaxPeerNotes) ||
      !IsWithin(table.leaving_engines(), kMaxPeerNotes) ||
      !IsWithin(table.limits(), kMaxPeerNotes)) {
    return MakeFrameError("a list in the frame is too long");
  }
  WorkNotesMessage message;
  message.is_leaving = table.is_leaving();
  message.store_position = {StoreEra(table.store_era()),
                            StoreVersion(table.store_version())};
  if (message.store_position.era < StoreEra()) {
    return MakeFrameError("the era of the store is negative");
  }
  message.has_store = table.has_store();
  message.is_cut_off = table.is_cut_off();
  if (!(table.requests_per_second() >= 0)) {
    return MakeFrameError("the rate of requests is not a number above zero");
  }
  message.requests_per_second = table.requests_per_second();
  message.is_complete = table.is_complete();
  message.wants_complete = table.wants_complete();
  message.suspects = DecodeEngines(table.suspects());
  if (table.leaving_engines() != nullptr) {
    for (const wire::LeavingEngine* const it : *table.leaving_engines()) {
      message.leaving_engines.push_back(
          {EngineId(it->engine()->str()), Incarnation(it->incarnation())});
    }
  }
  Result<CrashEvidence> evidence = DecodeCrashEvidence(table);
  if (!evidence) {
    return tl::unexpected(evidence.error());
  }
  message.crash_evidence = *std::move(evidence);
  Result<std::vector<EngineLimit>> limits = DecodeLimits(table);
  if (!limits) {
    return tl::unexpected(limits.error());
  }
  message.limits = *std::move(limits);
  if (table.store_changes() != nullptr) {
    Result<StoreStateReplyMessage> changes =
        DecodeStateReply(*table.store_changes());
    if (!changes) {
      return tl::unexpected(changes.error());
    }
    message.store_changes = *std::move(changes);
  }
  if (table.notes() == nullptr) {
    return message;
  }
  for (const wire::WorkNote* const it : *table.notes()) {
    Result<WorkNote> note = DecodeWorkNote(*it);
    if (!note) {
      return tl::unexpected(note.error());
    }
    message.notes.push_back(*std::move(note));
  }
  return message;
}

PeerPayload DecodeStoreStateRequest(const wire::StoreStateRequest& request) {
  return StoreStateRequestMessage{
      {StoreEra(request.era()), StoreVersion(request.version())},
      request.accepts_changes(),
      request.accepts_patches()};
}

Result<PeerPayload> DecodeStoreState(const wire::StoreStateReply& reply) {
  return DecodeStateReply(reply).map(
      [](StoreStateReplyMessage message) -> PeerPayload { return message; });
}

}  // namespace kingcupdrift
