#include <doctest/doctest.h>

#include <variant>

#include "kingcupdrift/net/internal/peer_codec.h"

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

}  // namespace
}  // namespace kingcupdrift
