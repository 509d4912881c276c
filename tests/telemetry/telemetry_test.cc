#include "kingcupdrift/telemetry/telemetry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("lm-pool");

std::vector<nlohmann::json> ParseLines(const std::string& text) {
  std::vector<nlohmann::json> out;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    out.push_back(nlohmann::json::parse(line));
  }
  return out;
}

/// Returns the value of the sample `name`, or -1 if there is none.
double Sample(const Metrics& metrics, const std::string& name) {
  std::istringstream in(metrics.ToPrometheusText());
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return -1;
}

TEST_CASE("A ring holds the newest events in order [telemetry]") {
  const bool holds = rc::check([] {
    const auto capacity = *rc::gen::inRange<std::size_t>(1, 20);
    const auto count = *rc::gen::inRange<std::size_t>(0, 60);
    fakes::ManualClock clock;
    HybridClock hybrid(clock);
    EventRing ring(InstanceId("entry-1"), hybrid, capacity);
    for (std::size_t i = 0; i < count; ++i) {
      ring.Add(EventKind::kOrderSent, std::to_string(i));
    }
    const auto lines = ParseLines(ring.ToJsonLines());
    RC_ASSERT(lines.size() == std::min(capacity, count));
    RC_ASSERT(ring.dropped() == count - lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i) {
      RC_ASSERT(lines[i]["detail"] == std::to_string(ring.dropped() + i));
    }
  });
  CHECK(holds);
}

TEST_CASE("Events are written as JSON and filtered [telemetry]") {
  fakes::ManualClock clock;
  HybridClock hybrid(clock);
  EventRing ring(InstanceId("entry-1"), hybrid);
  TimelineEvent event;
  event.kind = EventKind::kFirstToken;
  event.request = RequestId("r1");
  event.workspace = WorkspaceId("w1");
  event.engine = EngineId("e1");
  event.detail = "quote \" and \n line and \xff byte";
  ring.Add(event);
  event.request = RequestId("r2");
  event.detail = std::string(1000, 'x');
  ring.Add(event);
  const auto lines = ParseLines(ring.ToJsonLines({"r1", ""}));
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["instance"] == "entry-1");
  CHECK(lines[0]["kind"] == "first_token");
  CHECK(lines[0]["engine"] == "e1");
  CHECK(ring.ToJsonLines({"", "w2"}).empty());
  const auto second = ParseLines(ring.ToJsonLines({"r2", ""}));
  CHECK(second[0]["detail"].get<std::string>().size() == kMaxEventDetailBytes);
}

TEST_CASE("Every event kind has its own name [telemetry]") {
  std::set<std::string_view> names;
  for (int i = 0; i < static_cast<int>(EventKind::kCount); ++i) {
    names.insert(EventKindName(static_cast<EventKind>(i)));
  }
  CHECK(names.size() == static_cast<std::size_t>(EventKind::kCount));
  CHECK(!names.contains(""));
  CHECK(!names.contains("unknown"));
}

TEST_CASE("Times are counted by service and prompt length [telemetry]") {
  Metrics metrics;
  metrics.RecordTimeToFirstToken(kService, TokenCount(1'000), milliseconds(30));
  metrics.RecordTimeToFirstToken(kService, TokenCount(7'999),
                                 milliseconds(400));
  metrics.RecordTimeToFirstToken(kService, TokenCount(8'000), milliseconds(30));
  metrics.RecordTimeToFirstToken(kService, TokenCount(2'000'000),
                                 seconds(9'999));
  const std::string name = "kingcupdrift_first_token_seconds";
  const std::string band = "{service=\"lm-pool\",prompt=\"1-8k\"";
  CHECK(Sample(metrics, name + "_bucket" + band + ",le=\"0.025\"}") == 0);
  CHECK(Sample(metrics, name + "_bucket" + band + ",le=\"0.05\"}") == 1);
  CHECK(Sample(metrics, name + "_bucket" + band + ",le=\"0.5\"}") == 2);
  CHECK(Sample(metrics, name + "_bucket" + band + ",le=\"+Inf\"}") == 2);
  CHECK(Sample(metrics, name + "_count" + band + "}") == 2);
  CHECK(Sample(metrics, name + "_sum" + band + "}") == doctest::Approx(0.43));
  const std::string largest = "{service=\"lm-pool\",prompt=\"100k-1M\"";
  CHECK(Sample(metrics, name + "_bucket" + largest + ",le=\"1800\"}") == 0);
  CHECK(Sample(metrics, name + "_count" + largest + "}") == 1);
}

TEST_CASE("A family without a sample is not written [telemetry]") {
  CHECK(Metrics().ToPrometheusText().empty());
}

TEST_CASE("Counters and gauges are written under their names [telemetry]") {
  Metrics metrics;
  metrics.RecordCompletion(kService, TokenCount(1), seconds(1),
                           Outcome::kUnknown);
  metrics.CountRefusal("queue_full");
  metrics.CountRefusal("queue_full");
  metrics.CountRetry(kService);
  metrics.CountHedge(kService);
  metrics.RecordQueueAge(kService, seconds(3));
  metrics.RecordLoopStall(milliseconds(3));
  metrics.CountStoreCall("get", "ok");
  metrics.SetRequestsInProgress(4);
  metrics.SetGeneration(Generation(12));
  metrics.SetMembers(3, 1, 0);
  const std::vector<std::pair<std::string, double>> expected = {
      {"completions_total{service=\"lm-pool\",outcome=\"unknown\"}", 1},
      {"refusals_total{type=\"queue_full\"}", 2},
      {"retries_total{service=\"lm-pool\"}", 1},
      {"hedges_total{service=\"lm-pool\"}", 1},
      {"queue_age_seconds_count{service=\"lm-pool\"}", 1},
      {"loop_stall_seconds_bucket{le=\"0.005\"}", 1},
      {"store_calls_total{operation=\"get\",result=\"ok\"}", 1},
      {"requests_in_progress", 4},
      {"configuration_generation", 12},
      {"members{state=\"suspect\"}", 1},
  };
  for (const auto& it : expected) {
    CAPTURE(it.first);
    CHECK(Sample(metrics, "kingcupdrift_" + it.first) == it.second);
  }
}

TEST_CASE("A repeating fault is logged once per interval [telemetry]") {
  fakes::ManualClock clock;
  LogThrottle throttle(clock, seconds(30));
  CHECK(throttle.Admit("store") == 0U);
  CHECK(!throttle.Admit("store"));
  CHECK(throttle.Admit("peer") == 0U);
  clock.Advance(seconds(29));
  CHECK(!throttle.Admit("store"));
  clock.Advance(seconds(1));
  CHECK(throttle.Admit("store") == 2U);
  CHECK(!throttle.Admit("store"));
}

TEST_CASE("A throttle tracks a bounded number of faults [telemetry]") {
  fakes::ManualClock clock;
  LogThrottle throttle(clock, seconds(30));
  for (std::size_t i = 0; i <= LogThrottle::kMaxFaults; ++i) {
    clock.Advance(milliseconds(1));
    CHECK(throttle.Admit(std::to_string(i)).has_value());
  }
  // Fault 0 was forgotten, so it is logged again.
  CHECK(throttle.Admit("0") == 0U);
}

}  // namespace
}  // namespace kingcupdrift
