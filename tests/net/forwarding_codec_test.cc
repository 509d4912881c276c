#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "kingcupdrift/net/internal/peer_codec.h"
#include "peer_generated.h"

namespace kingcupdrift {
namespace {

PeerMessage MakeWorkNotes() {
  WorkNote note;
  note.attempt = AttemptId("entry-1-7");
  note.phase = WorkPhase::kPrefilling;
  note.engine = EngineId("decode");
  note.helpers = {EngineId("a"), EngineId("b")};
  note.held = {TokenCount(0), TokenCount(90'000)};
  note.prompt = TokenCount(400'000);
  note.output = TokenCount(800);
  note.max_event_gap = std::chrono::milliseconds(1000);
  note.part_prefill_time = std::chrono::milliseconds(700);
  WorkNotesMessage notes;
  notes.notes = {note};
  notes.suspects = {EngineId("c"), EngineId("d")};
  notes.wants_complete = true;
  notes.has_store = true;
  notes.is_cut_off = true;
  notes.store_position = {StoreEra(3), StoreVersion(41)};
  notes.leaving_engines = {{EngineId("f"), Incarnation(1'700)}};
  PeerMessage message;
  message.sender = InstanceId("entry-1");
  message.payload = notes;
  return message;
}

TEST_CASE("work notes and suspects survive encoding and decoding") {
  const auto frame = DecodePeerFrame(EncodePeerMessage(MakeWorkNotes()));
  REQUIRE(frame);
  REQUIRE(*frame);
  const auto& notes = std::get<WorkNotesMessage>((*frame)->payload);
  CHECK(notes.suspects == std::vector<EngineId>{EngineId("c"), EngineId("d")});
  CHECK(notes.wants_complete);
  CHECK_FALSE(notes.is_complete);
  CHECK(notes.has_store);
  CHECK(notes.is_cut_off);
  CHECK(notes.store_position == StorePosition{StoreEra(3), StoreVersion(41)});
  CHECK(notes.leaving_engines ==
        std::vector<LeavingEngine>{{EngineId("f"), Incarnation(1'700)}});
  REQUIRE(notes.notes.size() == 1);
  const WorkNote& note = notes.notes[0];
  CHECK(note.attempt == AttemptId("entry-1-7"));
  CHECK(note.engine == EngineId("decode"));
  CHECK(note.helpers == std::vector<EngineId>{EngineId("a"), EngineId("b")});
  CHECK(note.held ==
        std::vector<TokenCount>{TokenCount(0), TokenCount(90'000)});
  CHECK(note.prompt == TokenCount(400'000));
  CHECK(note.max_event_gap == std::chrono::milliseconds(1000));
  CHECK(note.part_prefill_time == std::chrono::milliseconds(700));
}

TEST_CASE("evidence of crashes survives encoding and decoding") {
  PeerMessage message = MakeWorkNotes();
  CrashEvidence& sent =
      std::get<WorkNotesMessage>(message.payload).crash_evidence;
  sent.crashes = {{EngineId("e"),
                   Incarnation(7),
                   std::chrono::milliseconds(30),
                   {{WorkKey("5c"), 0}, {WorkKey("91"), 3}}}};
  sent.successes = {{WorkKey("5c"), std::chrono::milliseconds(40)}};
  sent.survivals = {
      {EngineId("f"), Incarnation(8), std::chrono::milliseconds(50)}};
  auto frame = DecodePeerFrame(EncodePeerMessage(message));
  REQUIRE(frame);
  REQUIRE(*frame);
  const CrashEvidence& evidence =
      std::get<WorkNotesMessage>((*frame)->payload).crash_evidence;
  REQUIRE(evidence.crashes.size() == 1);
  CHECK(evidence.crashes[0].engine == EngineId("e"));
  CHECK(evidence.crashes[0].incarnation == Incarnation(7));
  CHECK(evidence.crashes[0].age == std::chrono::milliseconds(30));
  CHECK(evidence.crashes[0].suspects == sent.crashes[0].suspects);
  REQUIRE(evidence.successes.size() == 1);
  CHECK(evidence.successes[0].key == WorkKey("5c"));
  CHECK(evidence.successes[0].age == std::chrono::milliseconds(40));
  REQUIRE(evidence.survivals.size() == 1);
  CHECK(evidence.survivals[0].engine == EngineId("f"));
  CHECK(evidence.survivals[0].incarnation == Incarnation(8));
  CHECK(evidence.survivals[0].age == std::chrono::milliseconds(50));
  sent.survivals[0].age = Duration(-1);
  CHECK_FALSE(DecodePeerFrame(EncodePeerMessage(message)));
  sent.survivals.clear();
  sent.successes[0].age = Duration(-1);
  CHECK_FALSE(DecodePeerFrame(EncodePeerMessage(message)));
  sent.successes.clear();
  sent.crashes[0].age = Duration(-1);
  CHECK_FALSE(DecodePeerFrame(EncodePeerMessage(message)));
}

TEST_CASE("limits of engines survive encoding and decoding") {
  PeerMessage message = MakeWorkNotes();
  std::vector<EngineLimit>& sent =
      std::get<WorkNotesMessage>(message.payload).limits;
  sent = {{EngineId("e"), Incarnation(7), 1.4, std::chrono::milliseconds(30)},
          {EngineId("f"), Incarnation(), 0.0, Duration::zero()},
          {EngineId("g"), Incarnation(), std::nullopt, Duration::zero()}};
  const auto frame = DecodePeerFrame(EncodePeerMessage(message));
  REQUIRE(frame);
  REQUIRE(*frame);
  const auto& limits = std::get<WorkNotesMessage>((*frame)->payload).limits;
  REQUIRE(limits.size() == 3);
  CHECK(limits[0].engine == EngineId("e"));
  CHECK(limits[0].incarnation == Incarnation(7));
  CHECK(limits[0].requests_per_second == 1.4);
  CHECK(limits[0].age == std::chrono::milliseconds(30));
  CHECK(limits[1].requests_per_second == 0.0);
  CHECK_FALSE(limits[2].requests_per_second);
  sent[0].requests_per_second = -1;
  CHECK_FALSE(DecodePeerFrame(EncodePeerMessage(message)));
}

TEST_CASE("a frame with too many suspects is refused") {
  PeerMessage message = MakeWorkNotes();
  std::get<WorkNotesMessage>(message.payload)
      .suspects.assign(kMaxPeerNotes + 1, EngineId("e"));
  const auto frame = DecodePeerFrame(EncodePeerMessage(message));
  REQUIRE_FALSE(frame);
  CHECK(frame.error().code == ErrorCode::kProtocol);
}

TEST_CASE("a copy of the store and its request keep their positions") {
  const StorePosition position{StoreEra(2), StoreVersion(17)};
  PeerMessage message;
  message.sender = InstanceId("entry-1");
  message.payload = StoreStateRequestMessage{position};
  auto frame = DecodePeerFrame(EncodePeerMessage(message));
  REQUIRE(frame);
  REQUIRE(*frame);
  CHECK(std::get<StoreStateRequestMessage>((*frame)->payload).position ==
        position);
  StoreStateReplyMessage reply;
  reply.position = position;
  reply.items = {{"key", StoreVersion(3), "value"}};
  message.payload = reply;
  frame = DecodePeerFrame(EncodePeerMessage(message));
  REQUIRE(frame);
  REQUIRE(*frame);
  CHECK(std::get<StoreStateReplyMessage>((*frame)->payload).position ==
        position);
  CHECK_FALSE(std::get<StoreStateReplyMessage>((*frame)->payload)
                  .changes_after.has_value());
  reply.position.era = StoreEra(-1);
  message.payload = reply;
  CHECK_FALSE(DecodePeerFrame(EncodePeerMessage(message)));
}

TEST_CASE("work notes carry changes of the store") {
  PeerMessage message = MakeWorkNotes();
  StoreStateReplyMessage changes;
  changes.position = {StoreEra(2), StoreVersion(17)};
  changes.changes_after = {StoreEra(2), StoreVersion(15)};
  changes.is_settling = true;
  changes.items = {{"written", StoreVersion(16), "value"},
                   {"empty", StoreVersion(16), ""},
                   {"deleted", StoreVersion(17), std::nullopt}};
  std::get<WorkNotesMessage>(message.payload).store_changes = changes;
  const auto frame = DecodePeerFrame(EncodePeerMessage(message));
  REQUIRE(frame);
  REQUIRE(*frame);
  const auto& received =
      std::get<WorkNotesMessage>((*frame)->payload).store_changes;
  REQUIRE(received);
  CHECK(received->position == changes.position);
  CHECK(received->changes_after == changes.changes_after);
  CHECK(received->is_settling);
  REQUIRE(received->items.size() == 3);
  CHECK(received->items[0].value == "value");
  CHECK(received->items[1].value == "");
  CHECK_FALSE(received->items[2].value);
}

// Guards against a build of before that takes a message with patches for all
// changes, and misses the patched ones.
TEST_CASE("changes with patches look like a notice to earlier builds") {
  StoreStateReplyMessage changes;
  changes.position = {StoreEra(3), StoreVersion(44)};
  changes.changes_after = StorePosition{StoreEra(3), StoreVersion(41)};
  changes.items = {{"a", StoreVersion(42), "1"},
                   {"b", StoreVersion(43), std::nullopt}};
  changes.patches = {{"c", StoreVersion(40), StoreVersion(44), "patch"}};
  changes.is_settling = true;
  const auto encode = [](const StoreStateReplyMessage& reply) {
    PeerMessage message;
    message.sender = InstanceId("entry-1");
    message.payload = reply;
    return EncodePeerMessage(message);
  };
  const std::string bytes = encode(changes);
  const wire::StoreStateReply* const seen =
      flatbuffers::GetRoot<wire::Frame>(bytes.data())
          ->payload_as_StoreStateReply();
  REQUIRE(seen != nullptr);
  CHECK(seen->items() == nullptr);
  CHECK(seen->has_changes_only());
  CHECK(seen->base_version() == 44);

  const auto frame = DecodePeerFrame(bytes);
  REQUIRE(frame);
  const auto& decoded = std::get<StoreStateReplyMessage>((*frame)->payload);
  CHECK(decoded.position == changes.position);
  CHECK(decoded.changes_after == changes.changes_after);
  REQUIRE(decoded.items.size() == 2);
  CHECK(decoded.items[0].value == "1");
  CHECK_FALSE(decoded.items[1].value);
  REQUIRE(decoded.patches.size() == 1);
  CHECK(decoded.patches[0].key == "c");
  CHECK(decoded.patches[0].base == StoreVersion(40));
  CHECK(decoded.patches[0].version == StoreVersion(44));
  CHECK(decoded.patches[0].data == "patch");
  CHECK(decoded.is_settling);
  CHECK_FALSE(decoded.has_omissions);

  changes.patches.clear();
  changes.has_omissions = true;
  const std::string partial = encode(changes);
  CHECK(flatbuffers::GetRoot<wire::Frame>(partial.data())
            ->payload_as_StoreStateReply()
            ->items() == nullptr);
  const auto decoded_partial = DecodePeerFrame(partial);
  REQUIRE(decoded_partial);
  const auto& rest =
      std::get<StoreStateReplyMessage>((*decoded_partial)->payload);
  CHECK(rest.has_omissions);
  CHECK(rest.items.size() == 2);
}

}  // namespace
}  // namespace kingcupdrift
