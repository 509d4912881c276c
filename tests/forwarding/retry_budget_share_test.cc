#include "kingcupdrift/forwarding/retry_budget_share.h"

#include <doctest/doctest.h>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

const ServiceId kService("service");

int TakeAll(RetryBudgetShare& budget, std::size_t entries) {
  int taken = 0;
  while (budget.TryTake(kService, entries)) {
    ++taken;
  }
  return taken;
}

TEST_CASE(
    "an entry may use its part of the extra retries and of its own requests") {
  ManualClock clock;
  RetryBudgetShare budget(clock, {0.2, 80, std::chrono::seconds(10)});
  for (int i = 0; i < 50; ++i) {
    budget.CountRequest(kService);
  }
  const double share = 80.0 / 8 + 0.2 * 50;
  CHECK(TakeAll(budget, 8) ==
        static_cast<int>(RetryBudgetShare::kUsableShare * share));
}

TEST_CASE("all entries together stay within the retry budget in a window") {
  ManualClock clock;
  int taken = 0;
  for (int entry = 0; entry < 8; ++entry) {
    RetryBudgetShare budget(clock, {0.2, 104, std::chrono::seconds(10)});
    taken += TakeAll(budget, 8);
  }
  CHECK(taken <= 104);
}

TEST_CASE("a used up retry budget is available again after the window") {
  ManualClock clock;
  RetryBudgetShare budget(clock, {0.2, 10, std::chrono::seconds(10)});
  const int first = TakeAll(budget, 1);
  CHECK(first > 0);
  clock.Advance(std::chrono::milliseconds(10'001));
  CHECK(TakeAll(budget, 1) == first);
}

}  // namespace
}  // namespace kingcupdrift::fakes
