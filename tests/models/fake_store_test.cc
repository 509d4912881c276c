#include "tests/fakes/fake_store.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/fakes/freezable_clock.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct FakeStoreFixture {
  Result<StoreVersion> Swap(FakeStore& store,
                            const std::string& key,
                            std::int64_t expected,
                            const std::string& value,
                            LeaseId lease = LeaseId(0)) {
    std::optional<Result<StoreVersion>> written;
    store.CompareAndSwap(key, StoreVersion(expected), value, lease,
                         [&](const auto& result) { written = result; });
    clock.AdvanceUntil([&] { return written.has_value(); }, seconds(20));
    return *written;
  }

  ManualClock clock;
  StoreModel model{clock};
  FakeStore a{{}, model, clock};
  FakeStore b{{}, model, clock};
};

TEST_CASE(
    "Only one of two writers that expect the same version succeeds [models]") {
  FakeStoreFixture fixture;
  const auto first = fixture.Swap(fixture.a, "k", 0, "a");
  REQUIRE(first);
  CHECK(fixture.Swap(fixture.b, "k", 0, "b").error().code ==
        ErrorCode::kConflict);
  CHECK(fixture.Swap(fixture.b, "k", first->value(), "b"));
  CHECK(fixture.model.Get("k")->value == "b");
}

TEST_CASE("A write takes effect although its reply is lost [models]") {
  FakeStoreFixture fixture;
  fixture.model.LoseReplies(1);
  CHECK(fixture.Swap(fixture.a, "k", 0, "a").error().code ==
        ErrorCode::kUnknownEffect);
  CHECK(fixture.model.Get("k").has_value());
}

TEST_CASE("A delayed write takes effect after its caller's timeout [models]") {
  FakeStoreFixture fixture;
  fixture.model.DelayWrites(1, seconds(10));
  CHECK(fixture.Swap(fixture.a, "k", 0, "a").error().code ==
        ErrorCode::kUnknownEffect);
  CHECK(!fixture.model.Get("k").has_value());
  fixture.clock.Advance(seconds(10));
  CHECK(fixture.model.Get("k").has_value());
}

TEST_CASE("A key is deleted with its lease and a watch reports it [models]") {
  FakeStoreFixture fixture;
  const LeaseId lease = fixture.model.GrantLease(seconds(3));
  REQUIRE(fixture.Swap(fixture.a, "dir/k", 0, "a", lease));
  std::vector<StoreEvent> events;
  const auto watch =
      fixture.b.Watch("dir/", StoreVersion(0), [&](const auto& e) {
        REQUIRE(e);
        events.push_back(*e);
      });
  fixture.clock.Advance(seconds(2));
  CHECK(fixture.model.KeepAlive(lease));
  fixture.clock.Advance(seconds(2));
  CHECK(events.size() == 1);
  fixture.clock.Advance(seconds(2));
  REQUIRE(events.size() == 2);
  CHECK(!events[1].value);
  CHECK(!fixture.model.KeepAlive(lease));
}

TEST_CASE(
    "A store that is down refuses calls and interrupts watches [models]") {
  FakeStoreFixture fixture;
  std::optional<Error> watch_error;
  const auto watch = fixture.a.Watch("k", StoreVersion(0), [&](const auto& e) {
    if (!e) {
      watch_error = e.error();
    }
  });
  fixture.model.SetFault({.is_down = true});
  CHECK(fixture.Swap(fixture.a, "k", 0, "a").error().code ==
        ErrorCode::kUnavailable);
  REQUIRE(watch_error);
  CHECK(watch_error->code == ErrorCode::kConnectionLost);
  fixture.model.SetFault({});
  CHECK(fixture.Swap(fixture.a, "k", 0, "a"));
}

TEST_CASE("Dropped replies affect one client only [models]") {
  FakeStoreFixture fixture;
  fixture.a.SetDropReplies(true);
  CHECK(fixture.Swap(fixture.a, "k", 0, "a").error().code ==
        ErrorCode::kUnknownEffect);
  CHECK(fixture.Swap(fixture.b, "k", 0, "b").error().code ==
        ErrorCode::kConflict);
}

TEST_CASE(
    "A thawed process runs the timers that fell due while it was frozen "
    "[models]") {
  ManualClock base;
  FreezableClock clock(base);
  std::vector<int> fired;
  const auto one = clock.RunAfter(seconds(1), [&] { fired.push_back(1); });
  auto two = clock.RunAfter(seconds(2), [&] { fired.push_back(2); });
  const auto three = clock.RunAfter(seconds(3), [&] { fired.push_back(3); });
  clock.Freeze();
  base.Advance(seconds(5));
  CHECK(fired.empty());
  two.reset();
  clock.Thaw();
  base.Advance(milliseconds(1));
  CHECK(fired == std::vector<int>{1, 3});
}

}  // namespace
}  // namespace kingcupdrift::fakes
