#include "kingcupdrift/forwarding/target_rate_limiter.h"

#include <doctest/doctest.h>

#include <string>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EngineId kEngine("engine");

EngineLimit Limit(std::optional<double> per_second,
                  Duration age = Duration::zero(),
                  std::int64_t incarnation = 1) {
  return {kEngine, Incarnation(incarnation), per_second, age};
}

std::vector<InstanceId> Entries(int count) {
  std::vector<InstanceId> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    entries.emplace_back("entry-" + std::to_string(i));
  }
  return entries;
}

/// Requests that an entry which always has one sends in this time.
int SendAll(ManualClock& clock, TargetRateLimiter& limiter, Duration time) {
  int sent = 0;
  const MonotonicTime end = clock.Now() + time;
  while (clock.Now() < end) {
    if (limiter.GetDelay(kEngine) == Duration::zero()) {
      limiter.CountRequest(kEngine);
      ++sent;
    }
    clock.Advance(milliseconds(10));
  }
  return sent;
}

TEST_CASE("an entry alone sends at the limit, without a burst") {
  ManualClock clock;
  TargetRateLimiter limiter(clock, InstanceId("entry-0"));
  CHECK(limiter.GetDelay(kEngine) == Duration::zero());
  CHECK(limiter.Update(Limit(2)));
  CHECK(limiter.CountLimited() == 1);
  CHECK(limiter.GetDelay(kEngine) == milliseconds(500));
  // Time without requests saves up one at most.
  clock.Advance(seconds(20));
  limiter.Update(Limit(2));
  const int sent = SendAll(clock, limiter, seconds(10));
  CHECK(sent >= 19);
  CHECK(sent <= 21);
}

TEST_CASE("a limit is divided among a few senders that all entries agree on") {
  for (const int count : {1, 2, 3, 6, 16, 195}) {
    CAPTURE(count);
    ManualClock clock;
    std::size_t senders = 0;
    double sum = 0;
    for (int i = 0; i < count; ++i) {
      TargetRateLimiter limiter(clock,
                                InstanceId("entry-" + std::to_string(i)));
      limiter.SetEntries(Entries(count));
      limiter.Update(Limit(3));
      if (const auto delay = limiter.GetDelay(kEngine)) {
        ++senders;
        sum += 1 / std::chrono::duration<double>(*delay).count();
      }
    }
    CHECK(senders == std::min<std::size_t>(TargetRateLimiter::kSenders,
                                           static_cast<std::size_t>(count)));
    CHECK(sum > 2.99);
    CHECK(sum < 3.01);
  }
}

// Guards against fleets with more entries than the group that serves, where
// each entry outside the group would be a further sender.
TEST_CASE("an entry outside the group is no sender") {
  constexpr int kFleetSize = 195;
  constexpr int kGroupSize = 16;
  ManualClock clock;
  std::size_t senders = 0;
  for (const InstanceId& own : Entries(kFleetSize)) {
    TargetRateLimiter limiter(clock, own);
    limiter.SetEntries(Entries(kGroupSize));
    limiter.Update(Limit(3));
    senders += limiter.GetDelay(kEngine) ? 1 : 0;
  }
  CHECK(senders == TargetRateLimiter::kSenders);
}

TEST_CASE("other entries are told of changes at once and else at intervals") {
  ManualClock clock;
  TargetRateLimiter limiter(clock, InstanceId("entry-0"));
  CHECK_FALSE(limiter.Update(Limit(std::nullopt)));
  CHECK(limiter.Update(Limit(2)));
  CHECK_FALSE(limiter.Update(Limit(2)));
  CHECK(limiter.Update(Limit(1)));
  clock.Advance(TargetRateLimiter::kTellInterval);
  CHECK(limiter.Update(Limit(1)));
  clock.Advance(milliseconds(1));
  CHECK(limiter.Update(Limit(std::nullopt)));
  CHECK(limiter.CountLimited() == 0);
  CHECK(limiter.GetDelay(kEngine) == Duration::zero());
}

TEST_CASE("what an engine said earlier or in an earlier process is ignored") {
  ManualClock clock;
  clock.Advance(seconds(10));
  TargetRateLimiter limiter(clock, InstanceId("entry-0"));
  limiter.Update(Limit(2, seconds(1), 5));
  CHECK_FALSE(limiter.Update(Limit(std::nullopt, seconds(2), 5)));
  CHECK_FALSE(limiter.Update(Limit(std::nullopt, seconds(0), 4)));
  CHECK(limiter.CountLimited() == 1);
  CHECK(limiter.Update(Limit(std::nullopt, seconds(0), 6)));
  CHECK(limiter.CountLimited() == 0);
  limiter.Update(Limit(2, Duration::zero(), 7));
  limiter.Forget(kEngine);
  CHECK(limiter.GetDelay(kEngine) == Duration::zero());
}

TEST_CASE("a limit that is not confirmed ends") {
  ManualClock clock;
  TargetRateLimiter limiter(clock, InstanceId("entry-0"));
  limiter.Update(Limit(0));
  CHECK(limiter.GetDelay(kEngine) == seconds(10));
  clock.Advance(TargetRateLimiter::kLimitLifetime);
  CHECK(limiter.GetDelay(kEngine) == Duration::zero());
  CHECK(limiter.List().empty());
}

TEST_CASE("a new sender begins without saved up requests") {
  ManualClock clock;
  const std::vector<InstanceId> entries = Entries(16);
  for (const InstanceId& own : entries) {
    TargetRateLimiter limiter(clock, own);
    limiter.SetEntries(entries);
    limiter.Update(Limit(3));
    if (limiter.GetDelay(kEngine)) {
      continue;
    }
    clock.Advance(seconds(5));
    limiter.SetEntries({own});
    REQUIRE(limiter.GetDelay(kEngine));
    CHECK(*limiter.GetDelay(kEngine) > milliseconds(300));
    return;
  }
  FAIL("every entry is a sender");
}

}  // namespace
}  // namespace kingcupdrift::fakes
