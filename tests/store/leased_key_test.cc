#include "kingcupdrift/store/leased_key.h"

#include <doctest/doctest.h>

#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct KeyHarness {
  std::size_t Count() { return model.List("entries/").size(); }

  ManualClock clock;
  SeededRandom random{1};
  StoreModel model{clock};
  FakeStore store{FakeStoreOptions{}, model, clock};
  std::unique_ptr<LeasedKey> key =
      std::make_unique<LeasedKey>(store, clock, random, "entries/", "value");
};

TEST_CASE("a value stays while its process runs and expires after its end") {
  KeyHarness harness;
  harness.key->Start();
  harness.clock.Advance(seconds(30));
  CHECK(harness.Count() == 1);
  harness.key.reset();
  harness.clock.Advance(LeasedKey::kTimeToLive);
  CHECK(harness.Count() == 0);
}

TEST_CASE(
    "a value whose lease expired while the store was down is written again") {
  KeyHarness harness;
  harness.key->Start();
  harness.clock.Advance(seconds(1));
  harness.model.SetFault({true});
  harness.clock.Advance(2 * LeasedKey::kTimeToLive);
  harness.model.SetFault({});
  harness.clock.Advance(LeasedKey::kTimeToLive);
  CHECK(harness.Count() == 1);
}

TEST_CASE("only one value stays after writes whose replies are lost") {
  KeyHarness harness;
  harness.model.LoseReplies(2);
  harness.key->Start();
  harness.clock.Advance(seconds(20));
  CHECK(harness.Count() == 1);
}

TEST_CASE("stopping deletes the value") {
  KeyHarness harness;
  harness.key->Start();
  harness.clock.Advance(seconds(1));
  harness.key->Stop();
  harness.clock.Advance(milliseconds(100));
  CHECK(harness.Count() == 0);
}

}  // namespace
}  // namespace kingcupdrift::fakes
