// How a mirror takes changes of a peer: patches, and changes before which
// others are missing.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupdrift/store/store_mirror.h"
#include "kingcupdrift/store/value_patch.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

constexpr Duration kSoon = std::chrono::milliseconds(200);

std::string MakeLargeValue(const std::string& text) {
  return std::string(2 * kMinPatchedBytes, 'x') + text;
}

/// A mirror that reads the store and one that follows it.
struct PeersHarness {
  PeersHarness() {
    Put("config", MakeLargeValue("1"));
    Put("target", "ready");
    follower.SetReading(false, false);
    reader.Start();
    follower.Start();
    clock.Advance(kSoon);
  }

  void Put(const std::string& key, const std::string& value) {
    const auto old = model.Get(key);
    REQUIRE(model.CompareAndSwap(key, old ? old->version : StoreVersion(),
                                 value, LeaseId()));
    clock.Advance(kSoon);
  }
  void Delete(const std::string& key) {
    REQUIRE(model.CompareAndDelete(key, model.Get(key)->version));
    clock.Advance(kSoon);
  }
  std::string Value(const std::string& key) const {
    const auto it = follower.items().find(key);
    return it == follower.items().end() ? "absent" : it->second.value;
  }
  StoreStateReplyMessage ChangesAfter(const StorePosition& position) const {
    return *reader.ChangesAfter(position, true);
  }

  ManualClock clock;
  SeededRandom random{1};
  StoreModel model{clock};
  FakeStore store{FakeStoreOptions{}, model, clock};
  std::vector<MirrorEvent> events;
  StoreMirror reader{store, clock, random, "", [](const MirrorEvent&) {}};
  StoreMirror follower{
      store, clock, random, "",
      [this](const MirrorEvent& event) { events.push_back(event); }};
};

TEST_CASE("large values are passed on as patches, from one peer to the next") {
  PeersHarness harness;
  const StorePosition before = harness.follower.position();
  for (const char* const it : {"2", "3", "4"}) {
    harness.Put("config", MakeLargeValue(it));
  }
  harness.events.clear();
  const StoreStateReplyMessage changes = harness.ChangesAfter(before);
  CHECK(changes.items.empty());
  REQUIRE(changes.patches.size() == 3);
  CHECK(changes.patches[0].data.size() < 100);
  CHECK(harness.follower.ApplyPeerState(changes) == PeerStateResult::kApplied);
  CHECK(harness.Value("config") == MakeLargeValue("4"));
  CHECK(harness.follower.position() == harness.reader.position());
  CHECK(harness.follower.ChangesAfter(before, true)->patches.size() == 3);
  // Builds that do not know patches ask for values.
  CHECK(harness.follower.ChangesAfter(before, false)->items.size() == 1);
}

// Guards against a value put together from two versions, and against a peer
// that never gets it.
TEST_CASE("a patch for a version that the mirror lacks is not applied") {
  PeersHarness harness;
  harness.Put("config", MakeLargeValue("2"));
  const StorePosition missed = harness.reader.position();
  harness.Put("config", MakeLargeValue("3"));
  StoreStateReplyMessage changes = harness.ChangesAfter(missed);
  REQUIRE(changes.patches.size() == 1);
  const StorePosition before = harness.follower.position();
  CHECK(harness.follower.ApplyPeerState(changes) ==
        PeerStateResult::kWrongPatch);
  CHECK(harness.Value("config") == MakeLargeValue("1"));
  CHECK(harness.follower.position() == before);

  const auto values = harness.reader.ChangesAfter(before, false);
  CHECK(harness.follower.ApplyPeerState(*values) == PeerStateResult::kApplied);
  CHECK(harness.Value("config") == MakeLargeValue("3"));
}

// Guards against an older copy that brings a removed target back, because the
// message with the removal also had a patch that did not apply.
TEST_CASE("changes beside a patch that does not apply are kept") {
  PeersHarness harness;
  StoreStateReplyMessage older = harness.reader.StateAfter({});
  const StorePosition before = harness.follower.position();
  harness.Put("other", "1");
  older.position = harness.reader.position();
  harness.Delete("target");
  StoreStateReplyMessage changes = harness.ChangesAfter(before);
  changes.patches = {{"config", StoreVersion(900), StoreVersion(901), "patch"}};
  CHECK(harness.follower.ApplyPeerState(changes) ==
        PeerStateResult::kWrongPatch);
  CHECK(harness.Value("target") == "absent");
  CHECK(harness.follower.position() == before);
  harness.follower.ApplyPeerState(older);
  CHECK(harness.Value("target") == "absent");
}

// Guards against the record of a target that waits for a missing change, and
// against an older copy that brings a removed target back.
TEST_CASE("a change is applied before an earlier one that is missing") {
  PeersHarness harness;
  const StorePosition first = harness.follower.position();
  // What a peer with the first position would send later.
  const StoreStateReplyMessage old_copy = harness.reader.StateAfter({});
  harness.Put("config", MakeLargeValue("2"));
  const StorePosition missed = harness.reader.position();
  harness.Put("target", "draining");
  harness.Put("other", "1");
  CHECK(harness.follower.ApplyPeerState(harness.ChangesAfter(missed)) ==
        PeerStateResult::kGap);
  CHECK(harness.Value("target") == "draining");
  CHECK(harness.Value("other") == "1");
  CHECK(harness.Value("config") == MakeLargeValue("1"));
  CHECK(harness.follower.position() == first);

  const StorePosition before_deletion = harness.reader.position();
  harness.Delete("target");
  CHECK(harness.follower.ApplyPeerState(
            harness.ChangesAfter(before_deletion)) == PeerStateResult::kGap);
  CHECK(harness.Value("target") == "absent");

  StoreStateReplyMessage late = old_copy;
  late.position = missed;
  CHECK(harness.follower.ApplyPeerState(late) == PeerStateResult::kApplied);
  CHECK(harness.Value("target") == "absent");
  CHECK(harness.Value("other") == "1");
  CHECK(harness.follower.position() == missed);

  harness.follower.ApplyPeerState(*harness.reader.ChangesAfter(missed, false));
  CHECK(harness.follower.position() == harness.reader.position());
  CHECK(harness.Value("target") == "absent");
  // A key that is written again after its deletion is there again.
  harness.Put("target", "ready");
  harness.follower.ApplyPeerState(
      harness.ChangesAfter(harness.follower.position()));
  CHECK(harness.Value("target") == "ready");
}

// Guards against small changes that are left out together with a large one.
TEST_CASE("changes without the large ones are applied, and the store listed") {
  PeersHarness harness;
  const StorePosition before = harness.follower.position();
  harness.Put("config", std::string(3 * kMinPatchedBytes, 'y'));
  harness.Delete("target");
  StoreStateReplyMessage changes = *harness.reader.ChangesAfter(before, false);
  LeaveOutLargeChanges(changes);
  CHECK(changes.items.size() == 1);
  CHECK(harness.follower.ApplyPeerState(changes) == PeerStateResult::kApplied);
  CHECK(harness.Value("target") == "absent");
  CHECK(harness.Value("config") == MakeLargeValue("1"));
  harness.clock.Advance(kSoon);
  CHECK(harness.Value("config") == std::string(3 * kMinPatchedBytes, 'y'));
  CHECK(harness.follower.position() == harness.reader.position());
}

}  // namespace
}  // namespace kingcupdrift::fakes
