#include "kingcupdrift/admission/admission.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <set>
#include <vector>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("lm");
const WorkspaceId kWorkspace("potters");

SiteConfig MakeConfig(double requests_per_second, double tokens_per_second) {
  SiteConfig config;
  config.services[kService].id = kService;
  config.services[kService].max_queued = 100;
  WorkspaceConfig workspace;
  workspace.id = kWorkspace;
  workspace.requests_per_second = requests_per_second;
  workspace.tokens_per_second = tokens_per_second;
  config.workspaces[kWorkspace] = workspace;
  return config;
}

struct AdmissionHarness {
  AdmissionHarness() {
    controller.ApplyConfig(MakeConfig(1e6, 1e12));
    controller.SetFallbackDrainRate(kService, 10'000);
  }

  AdmissionRequest Request(std::int64_t tokens, Duration limit) const {
    AdmissionRequest request;
    request.workspace = kWorkspace;
    request.service = kService;
    request.tokens = TokenCount(tokens);
    request.deadline = clock.Now() + limit;
    return request;
  }

  fakes::ManualClock clock;
  AdmissionController controller{clock, InstanceId("e0")};
};

TEST_CASE("Unknown services and workspaces are refused [admission]") {
  AdmissionHarness harness;
  AdmissionRequest request = harness.Request(1, seconds(1));
  request.service = ServiceId("other");
  CHECK(harness.controller.Admit(request).error().type ==
        ProblemType::kNotFound);
  request = harness.Request(1, seconds(1));
  request.workspace = WorkspaceId("other");
  CHECK(harness.controller.Admit(request).error().type ==
        ProblemType::kUnauthorized);
}

TEST_CASE(
    "A request that cannot meet its deadline is refused and may retry after "
    "the excess [admission]") {
  AdmissionHarness harness;
  REQUIRE(harness.controller.Admit(harness.Request(100'000, seconds(60))));
  AdmissionRequest request = harness.Request(1'000, seconds(8));
  request.predicted_total_time = seconds(1);
  const auto refused = harness.controller.Admit(request);
  REQUIRE(!refused);
  CHECK(refused.error().type == ProblemType::kDeadlineInfeasible);
  // 1.5 times the 10 s of backlog plus 1 s of its own exceeds 8 s by 8 s.
  CHECK(refused.error().retry_after == seconds(8));
}

TEST_CASE("The deadline is checked again before dispatch [admission]") {
  AdmissionHarness harness;
  AdmissionRequest request = harness.Request(1'000, seconds(8));
  request.predicted_total_time = seconds(2);
  REQUIRE(harness.controller.Admit(request));
  harness.clock.Advance(seconds(5));
  CHECK(harness.controller.CheckBeforeDispatch(request));
  harness.clock.Advance(seconds(2));
  CHECK(harness.controller.CheckBeforeDispatch(request).error().type ==
        ProblemType::kDeadlineInfeasible);
  harness.clock.Advance(seconds(1));
  CHECK(harness.controller.CheckBeforeDispatch(request).error().type ==
        ProblemType::kDeadlineExceeded);
}

TEST_CASE(
    "A full queue refuses requests until its drain time has passed "
    "[admission]") {
  AdmissionHarness harness;
  for (int i = 0; i < 100; ++i) {
    REQUIRE(harness.controller.Admit(harness.Request(1'000, seconds(600))));
  }
  const auto refused =
      harness.controller.Admit(harness.Request(1'000, seconds(600)));
  REQUIRE(!refused);
  CHECK(refused.error().type == ProblemType::kQueueFull);
  CHECK(refused.error().retry_after == seconds(10));
}

TEST_CASE("Retry-after follows the measured drain rate [admission]") {
  AdmissionHarness harness;
  const AdmissionRequest request = harness.Request(1'000, seconds(600));
  for (int i = 0; i < 100; ++i) {
    REQUIRE(harness.controller.Admit(request));
  }
  // Requests of 2,000 tokens per second start, a fifth of the fallback rate.
  for (int i = 0; i < 40; ++i) {
    harness.clock.Advance(milliseconds(500));
    harness.controller.OnStarted(request);
  }
  const Duration drain = harness.controller.DrainTime(kService);
  CHECK(drain > seconds(25));
  CHECK(drain < seconds(35));
}

TEST_CASE(
    "Large requests do not add to the queue time of small ones "
    "[admission]") {
  AdmissionHarness harness;
  AdmissionRequest large = harness.Request(900'000, seconds(600));
  large.is_large = true;
  REQUIRE(harness.controller.Admit(large));
  CHECK(harness.controller.Admit(harness.Request(1'000, seconds(5))));
}

TEST_CASE(
    "Abandoning a request refunds its charge "
    "[admission]") {
  AdmissionHarness harness;
  harness.controller.ApplyConfig(MakeConfig(1e6, 1'000));
  const AdmissionRequest request = harness.Request(5'000, seconds(600));
  REQUIRE(harness.controller.Admit(request));
  const auto refused = harness.controller.Admit(request);
  REQUIRE(!refused);
  CHECK(refused.error().type == ProblemType::kWorkspaceLimit);
  CHECK(refused.error().retry_after >= seconds(4));
  harness.controller.OnAbandoned(request);
  CHECK(harness.controller.Waiting(kService) == 0);
  REQUIRE(harness.controller.Admit(request));
  CHECK(harness.controller.CollectLocalUsage(10).front().tokens == 5'000);
}

/// Returns the tokens admitted over `time` by six entries that each receive
/// more than the limit and exchange totals every `exchange_interval`.
std::int64_t AdmittedTokens(Duration time,
                            Duration exchange_interval,
                            double limit) {
  constexpr int kEntries = 6;
  constexpr std::int64_t kTokens = 500;
  constexpr Duration kStep = milliseconds(10);
  fakes::ManualClock clock;
  std::vector<std::unique_ptr<AdmissionController>> entries;
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back(std::make_unique<AdmissionController>(
        clock, InstanceId(fmt::format("e{}", i))));
    entries.back()->ApplyConfig(MakeConfig(1e6, limit));
  }
  std::int64_t admitted = 0;
  const MonotonicTime end = clock.Now() + time;
  MonotonicTime next_exchange = clock.Now();
  while (clock.Now() < end) {
    for (auto& entry : entries) {
      AdmissionRequest request;
      request.workspace = kWorkspace;
      request.service = kService;
      request.tokens = TokenCount(kTokens);
      request.deadline = clock.Now() + seconds(60);
      if (entry->Admit(request)) {
        admitted += kTokens;
        entry->OnStarted(request);
      }
    }
    clock.Advance(kStep);
    if (clock.Now() < next_exchange) {
      continue;
    }
    next_exchange = clock.Now() + exchange_interval;
    for (int from = 0; from < kEntries; ++from) {
      const auto usage = entries[from]->CollectLocalUsage(10);
      for (int to = 0; to < kEntries; ++to) {
        if (to != from) {
          entries[to]->OnPeerUsage(InstanceId(fmt::format("e{}", from)), usage);
        }
      }
    }
  }
  return admitted;
}

TEST_CASE(
    "A workspace's limit holds over six entries within the documented bound "
    "[admission]") {
  constexpr double kLimit = 10'000;
  constexpr int kEntries = 6;
  for (const int exchange_ms : {100, 500, 1000}) {
    CAPTURE(exchange_ms);
    const auto admitted = static_cast<double>(
        AdmittedTokens(seconds(120), milliseconds(exchange_ms), kLimit));
    const double error_seconds = kEntries * (1 + exchange_ms / 1000.0);
    CHECK(admitted <= kLimit * (120 + error_seconds) + kEntries * 500);
    CHECK(admitted >= kLimit * 120 * 0.9);
  }
}

TEST_CASE("Late usage messages of a peer are ignored [admission]") {
  AdmissionHarness harness;
  harness.controller.ApplyConfig(MakeConfig(1e6, 1'000));
  const InstanceId peer("e1");
  harness.controller.OnPeerUsage(peer, {{kWorkspace, 1, 100}});
  harness.controller.OnPeerUsage(peer, {{kWorkspace, 2, 700}});
  harness.controller.OnPeerUsage(peer, {{kWorkspace, 1, 100}});
  harness.controller.OnPeerUsage(peer, {{kWorkspace, 2, 700}});
  CHECK(harness.controller.Admit(harness.Request(100, seconds(60))));
  harness.controller.OnPeerUsage(peer, {{kWorkspace, 3, 1'500}});
  CHECK_FALSE(harness.controller.Admit(harness.Request(100, seconds(60))));
}

TEST_CASE("Repeated usage messages cover all workspaces [admission]") {
  fakes::ManualClock clock;
  AdmissionController controller(clock, InstanceId("e0"));
  SiteConfig config = MakeConfig(100, 1e6);
  for (int i = 0; i < 25; ++i) {
    WorkspaceConfig workspace = config.workspaces[kWorkspace];
    workspace.id = WorkspaceId(fmt::format("w{}", i));
    config.workspaces[workspace.id] = workspace;
  }
  controller.ApplyConfig(config);
  for (const auto& [id, workspace] : config.workspaces) {
    AdmissionRequest request;
    request.workspace = id;
    request.service = kService;
    request.deadline = clock.Now() + seconds(60);
    REQUIRE(controller.Admit(request));
  }
  std::set<WorkspaceId> reported;
  for (int i = 0; i < 3; ++i) {
    for (const WorkspaceUsage& usage : controller.CollectLocalUsage(10)) {
      reported.insert(usage.workspace);
    }
  }
  CHECK(reported.size() == 26);
}

}  // namespace
}  // namespace kingcupdrift
