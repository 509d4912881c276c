#include "kingcupdrift/forwarding/internal/overdue_attempt.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "kingcupdrift/forwarding/internal/overdue_allowance.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An attempt with 11.5 s left when it was sent, and its time since then.
AttemptState MakeState(Duration waited) {
  AttemptState state;
  state.predicted = milliseconds(1700);
  state.waited = waited;
  state.target_quiet = waited;
  state.left_to_first_event = seconds(32) - waited;
  state.left_to_deadline = milliseconds(11'500) - waited;
  state.ideal_time = milliseconds(600);
  return state;
}

/// First time at which the attempt is left; `adapt` changes each state.
template <typename Adapt>
std::optional<Duration> FindLeavingTime(Adapt adapt) {
  for (Duration waited{0}; waited < milliseconds(11'500);
       waited += milliseconds(50)) {
    AttemptState state = MakeState(waited);
    adapt(state);
    if (DecideOverdue(state).should_leave) {
      return waited;
    }
  }
  return std::nullopt;
}

// Guards against waiting for a silent engine until no time is left.
TEST_CASE("a silent target is left while there is time for a second attempt") {
  const auto time = FindLeavingTime([](AttemptState&) {});
  REQUIRE(time);
  CHECK(*time > milliseconds(2 * 1700));
  CHECK(CanFinishInTime(MakeState(*time), milliseconds(2 * 1700)));
  // Known work ahead explains some of the delay, but not up to the deadline.
  const auto loaded =
      FindLeavingTime([](AttemptState& it) { it.backlog = seconds(2); });
  REQUIRE(loaded);
  CHECK(*loaded > *time);
  const auto busy =
      FindLeavingTime([](AttemptState& it) { it.backlog = seconds(60); });
  REQUIRE(busy);
  CHECK(CanFinishInTime(MakeState(*busy), milliseconds(2 * 600)));
}

TEST_CASE("a short prompt leaves a silent target before its time is over") {
  AttemptState state;
  state.predicted = milliseconds(60);
  state.waited = milliseconds(1700);
  state.target_quiet = state.waited;
  state.left_to_first_event = milliseconds(300);
  state.left_to_deadline = milliseconds(2300);
  state.ideal_time = milliseconds(80);
  CHECK(DecideOverdue(state).should_leave);
  // A long prefill at the target may explain silence since sending.
  state.waited = state.target_quiet = milliseconds(900);
  state.backlog = milliseconds(400);
  CHECK_FALSE(DecideOverdue(state).should_leave);
}

// Guards against abandoning sound engines in a burst.
TEST_CASE("nothing is left within twice the prediction") {
  for (const int predicted_ms : {30, 300, 1700, 4000}) {
    for (Duration waited{0}; waited <= milliseconds(2 * predicted_ms);
         waited += milliseconds(10)) {
      AttemptState state = MakeState(waited);
      state.predicted = milliseconds(predicted_ms);
      state.helper_quiet = waited;
      CHECK_FALSE(DecideOverdue(state).should_leave);
    }
  }
}

TEST_CASE("a loaded target that progresses is not left") {
  CHECK_FALSE(FindLeavingTime([](AttemptState& it) {
    it.target_quiet = std::min(it.waited, Duration(milliseconds(1600)));
    it.backlog = milliseconds(200);
  }));
}

// Guards against a request that its engine has lost.
TEST_CASE(
    "without known work ahead a late attempt is left at the last moment") {
  const auto time = FindLeavingTime(
      [](AttemptState& it) { it.target_quiet = Duration::zero(); });
  REQUIRE(time);
  CHECK(*time >= milliseconds(4 * 1700));
  CHECK(MakeState(*time).left_to_deadline < milliseconds(4 * 600));
  CHECK(CanFinishInTime(MakeState(*time), milliseconds(2 * 600)));
}

TEST_CASE("a target that progresses is left if a helper shows nothing") {
  const auto hung_helper = [](AttemptState& it) {
    it.target_quiet = Duration::zero();
    it.helper_quiet = it.waited;
  };
  const auto time = FindLeavingTime(hung_helper);
  REQUIRE(time);
  // A sound helper without other work shows nothing either.
  CHECK(*time > milliseconds(4 * 1700));
  CHECK(CanFinishInTime(MakeState(*time), milliseconds(2 * 600)));
}

// Guards against a busy entry that takes its own delay for silence of engines.
TEST_CASE("a check that runs late leaves nothing") {
  AttemptState state = MakeState(seconds(9));
  REQUIRE(DecideOverdue(state).should_leave);
  state.check_delay = milliseconds(400);
  CHECK_FALSE(DecideOverdue(state).should_leave);
}

// Guards against a budget that late prompts use up, so that nothing is left for
// engines that crash, and against small shares that never allow a retry.
TEST_CASE("overdue attempts of all entries use a part of the retry budget") {
  const ServiceId service("service");
  for (const std::size_t entries : {1, 6, 33, 82, 195}) {
    CAPTURE(entries);
    ManualClock clock;
    constexpr int kRequests = 800;
    int overdue = 0;
    int crashed = 0;
    double budget_total = 0;
    for (std::size_t entry = 0; entry < entries; ++entry) {
      SeededRandom random(entry + 1);
      RetryBudgetShare budget(clock, {0.2, 240, seconds(10)});
      OverdueAllowance allowance(clock, random, budget);
      for (std::size_t i = entry; i < kRequests; i += entries) {
        budget.CountRequest(service);
      }
      budget_total += budget.GetLimit(service, entries);
      for (int i = 0; i < kRequests; ++i) {
        overdue += allowance.TryTake(service, entries) ? 1 : 0;
      }
      while (budget.TryTake(service, entries)) {
        ++crashed;
      }
    }
    MESSAGE("entries ", entries, ": budget ", budget_total, ", overdue ",
            overdue, ", left ", crashed);
    CHECK(overdue >= 0.8 * OverdueAllowance::kBudgetPart * budget_total);
    CHECK(overdue <= 1.2 * OverdueAllowance::kBudgetPart * budget_total);
    // Entries with a share of one or two retries cannot use fractions.
    CHECK(crashed >= budget_total / 4);
  }
}

TEST_CASE("an overdue attempt gets no retry from a budget that is used up") {
  ManualClock clock;
  SeededRandom random(1);
  const ServiceId service("service");
  RetryBudgetShare budget(clock, {0.2, 240, seconds(10)});
  OverdueAllowance allowance(clock, random, budget);
  REQUIRE(allowance.TryTake(service, 1));
  while (budget.TryTake(service, 1)) {
  }
  CHECK_FALSE(allowance.TryTake(service, 1));
}

// Guards against small shares that are rounded up in every window.
TEST_CASE("no window allows much more than the part for overdue attempts") {
  const ServiceId service("service");
  for (const std::size_t entries : {1, 6, 33, 82, 195}) {
    CAPTURE(entries);
    std::vector<int> taken(300);
    for (std::size_t entry = 0; entry < entries; ++entry) {
      ManualClock own;
      SeededRandom random(entry + 1);
      RetryBudgetShare budget(own, {0.2, 240, seconds(10)});
      OverdueAllowance allowance(own, random, budget);
      for (std::size_t step = 0; step < taken.size(); ++step) {
        if (step % entries == entry) {
          budget.CountRequest(service);
        }
        taken[step] += allowance.TryTake(service, entries) ? 1 : 0;
        own.Advance(milliseconds(200));
      }
    }
    const double limit = RetryBudgetShare::kUsableShare * (240 + 0.2 * 50);
    // 50 steps are one window.
    int worst = 0;
    for (std::size_t i = 0; i + 50 <= taken.size(); ++i) {
      int sum = 0;
      for (std::size_t step = i; step < i + 50; ++step) {
        sum += taken[step];
      }
      worst = std::max(worst, sum);
    }
    MESSAGE("entries ", entries, ": limit ", limit, ", most in a window ",
            worst);
    CHECK(worst <= 1.4 * OverdueAllowance::kBudgetPart * limit);
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
