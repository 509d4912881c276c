#include "kingcupdrift/base/base.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <vector>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Endpoints parse IP addresses and refuse names [base]") {
  CHECK(ParseEndpoint("127.0.0.1:80")->port == 80);
  CHECK(ToString(*ParseEndpoint("[::1]:8080")) == "[::1]:8080");
  CHECK(!ParseEndpoint("localhost:80"));
  CHECK(!ParseEndpoint("127.0.0.1:0"));
  CHECK(!ParseEndpoint("127.0.0.1:99999"));
}

TEST_CASE("The manual clock runs due timers in order [base]") {
  fakes::ManualClock clock;
  std::vector<int> fired;
  const auto second =
      clock.RunAfter(milliseconds(2), [&] { fired.push_back(2); });
  const auto first =
      clock.RunAfter(milliseconds(1), [&] { fired.push_back(1); });
  auto cancelled = clock.RunAfter(milliseconds(1), [&] { fired.push_back(3); });
  cancelled.reset();
  clock.Advance(milliseconds(5));
  CHECK(fired == std::vector<int>{1, 2});
}

TEST_CASE("A hybrid clock never goes back and passes received stamps [base]") {
  fakes::ManualClock clock;
  HybridClock local(clock);
  const HybridTime before = local.Tick();
  clock.ShiftWall(-milliseconds(500));
  const HybridTime after = local.Tick();
  CHECK(after > before);
  const HybridTime remote{after.wall_us + 1000, 7};
  local.Observe(remote);
  CHECK(local.Tick() > remote);
}

TEST_CASE("A hybrid clock ignores stamps far ahead of the wall clock [base]") {
  fakes::ManualClock clock;
  HybridClock local(clock);
  const HybridTime now = local.Tick();
  const HybridTime far{now.wall_us + 10 * HybridClock::kMaxClockSkew.count(),
                       0};
  local.Observe(far);
  CHECK(local.Tick() < far);
}

TEST_CASE("Digests match published test vectors [base]") {
  CHECK(ComputeSha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(ComputeHmacSha256Hex("key", "a") != ComputeHmacSha256Hex("key", "b"));
  CHECK(ConstantTimeEquals("same", "same"));
  CHECK(!ConstantTimeEquals("same", "sane"));
}

}  // namespace
}  // namespace kingcupdrift
