// Which engines an entry takes for new ones, as the platform's store lists
// them.

#include <doctest/doctest.h>

#include "tests/forwarding/gateway_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kColdGauge = "kingcupdrift_targets_cold";

// Guards against engines that get the whole load at their start, and against
// entries that, after their own start, hold back engines which run for long.
TEST_CASE("an engine that joins the list is cold, and none of the first list") {
  GatewayHarness harness(3);
  harness.Put("config", "2 kept cold");
  harness.clock.Advance(seconds(4));
  for (const auto& node : harness.nodes) {
    CHECK(node->Metric(kColdGauge) == "0");
  }
  harness.Put("targets/t2", "ready 8");
  harness.clock.Advance(milliseconds(500));
  for (const auto& node : harness.nodes) {
    CHECK(node->Metric(kColdGauge) == "1");
  }
  harness.AddNode(4, "late-");
  harness.clock.Advance(milliseconds(500));
  CHECK(harness.nodes.back()->gateway->IsReady());
  CHECK(harness.nodes.back()->Metric(kColdGauge) == "0");
  harness.Put("targets/t2", "ready 9");
  harness.clock.Advance(milliseconds(500));
  for (const auto& node : harness.nodes) {
    CHECK(node->Metric(kColdGauge) == "1");
  }
  harness.clock.Advance(seconds(3));
  for (const auto& node : harness.nodes) {
    CHECK(node->Metric(kColdGauge) == "0");
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
