#include "kingcupdrift/store/store_mirror.h"

#include <doctest/doctest.h>

#include <vector>

#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store, and one entry's copy of it.
struct MirrorHarness {
  MirrorHarness() { mirror.Start(); }

  void Put(const std::string& key, const std::string& value) {
    const auto old = model.Get(key);
    REQUIRE(model.CompareAndSwap(key, old ? old->version : StoreVersion(),
                                 value, LeaseId()));
  }
  void Delete(const std::string& key) {
    REQUIRE(model.CompareAndDelete(key, model.Get(key)->version));
  }

  ManualClock clock;
  SeededRandom random{1};
  StoreModel model{clock};
  FakeStore store{FakeStoreOptions{}, model, clock};
  std::vector<StoreEvent> events;
  StoreMirror mirror{store, clock, random, "", [this](const StoreEvent& event) {
                       events.push_back(event);
                     }};
};

TEST_CASE("a copy holds what was there before and what comes after") {
  MirrorHarness harness;
  harness.Put("a", "1");
  harness.clock.Advance(milliseconds(50));
  CHECK(harness.mirror.IsComplete());
  harness.Put("b", "2");
  harness.Delete("a");
  harness.clock.Advance(milliseconds(50));
  CHECK(harness.mirror.items().size() == 1);
  CHECK(harness.mirror.items().at("b").value == "2");
  CHECK(harness.mirror.version() == harness.model.version());
}

TEST_CASE("a copy outlives the store and catches up after its return") {
  MirrorHarness harness;
  harness.Put("a", "1");
  harness.clock.Advance(milliseconds(50));
  harness.model.SetFault({true});
  harness.clock.Advance(seconds(3));
  CHECK(harness.mirror.items().contains("a"));
  CHECK_FALSE(harness.mirror.IsStoreReachable());
  CHECK(harness.mirror.IsSettling());
  harness.Put("a", "2");
  harness.model.SetFault({});
  harness.clock.Advance(seconds(2));
  CHECK(harness.mirror.items().at("a").value == "2");
  CHECK(harness.mirror.IsStoreReachable());
}

TEST_CASE("a copy settles two seconds after the store's return") {
  MirrorHarness harness;
  harness.clock.Advance(milliseconds(50));
  // Nothing can have lapsed before the first listing.
  CHECK_FALSE(harness.mirror.IsSettling());
  harness.model.SetFault({true});
  harness.clock.Advance(seconds(1));
  harness.model.SetFault({});
  harness.Put("a", "1");
  REQUIRE(harness.clock.AdvanceUntil(
      [&] { return harness.mirror.IsStoreReachable(); }, seconds(2)));
  CHECK(harness.mirror.IsSettling());
  harness.clock.Advance(StoreMirror::kSettlingTime);
  CHECK_FALSE(harness.mirror.IsSettling());
}

TEST_CASE("a peer's copy brings an entry further that the store turns away") {
  MirrorHarness behind;
  behind.Put("a", "1");
  behind.Put("b", "1");
  behind.clock.Advance(milliseconds(50));
  StoreStateReplyMessage state =
      behind.mirror.StateAfter(behind.mirror.version());
  // The peer has seen "a" change and "b" go.
  state.version = StoreVersion(50);
  state.items = {{"a", StoreVersion(40), "2"}};
  behind.mirror.ApplyPeerState(state);
  CHECK(behind.mirror.items().at("a").value == "2");
  CHECK_FALSE(behind.mirror.items().contains("b"));
  CHECK(behind.mirror.version() == StoreVersion(50));
}

TEST_CASE("a copy never goes back to an older version") {
  MirrorHarness harness;
  harness.Put("a", "1");
  harness.Put("a", "2");
  harness.clock.Advance(milliseconds(50));
  StoreStateReplyMessage older;
  older.version = StoreVersion(1);
  older.items = {{"a", StoreVersion(1), "1"}};
  harness.mirror.ApplyPeerState(older);
  CHECK(harness.mirror.items().at("a").value == "2");
}

TEST_CASE("a peer that has the newest values sends only what is missing") {
  MirrorHarness harness;
  harness.Put("a", "1");
  const StoreVersion known = harness.model.version();
  harness.Put("b", "2");
  harness.clock.Advance(milliseconds(50));
  const StoreStateReplyMessage state = harness.mirror.StateAfter(known);
  REQUIRE(state.items.size() == 2);
  CHECK_FALSE(state.items[0].value);
  CHECK(state.items[1].value == "2");
}

}  // namespace
}  // namespace kingcupdrift::fakes
