#include "kingcupdrift/admission/admission.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

using std::chrono::seconds;

/// A queue that records its dispatches.
struct QueueHarness {
  fakes::ManualClock clock;
  FairQueue queue{clock};
  std::vector<QueuedRequest> started;
  int next = 0;

  RequestId Push(const std::string& workspace,
                 std::int64_t tokens,
                 bool is_large = false,
                 double weight = 1,
                 int priority = 0) {
    RequestId id(fmt::format("r{}", next++));
    queue.Push({id, ServiceId("lm"), WorkspaceId(workspace), weight, priority,
                TokenCount(tokens), is_large, clock.Now(),
                clock.Now() + seconds(60)});
    return id;
  }

  /// Starts up to `capacity` small requests, and large ones if
  /// `has_large_capacity`.
  void Drain(int capacity, bool has_large_capacity = true) {
    queue.Drain([&](const QueuedRequest& request) {
      if (capacity == 0 || (request.is_large && !has_large_capacity)) {
        return DispatchResult::kNoCapacity;
      }
      --capacity;
      started.push_back(request);
      return DispatchResult::kDispatched;
    });
  }

  TokenCount StartedOf(const std::string& workspace) const {
    TokenCount sum;
    for (const QueuedRequest& request : started) {
      if (request.workspace.value() == workspace) {
        sum += request.tokens;
      }
    }
    return sum;
  }
};

TEST_CASE(
    "Workspaces share capacity by weight for any size of requests "
    "[admission]") {
  QueueHarness harness;
  for (int i = 0; i < 400; ++i) {
    harness.Push("big", 10'000, false, 1);
    harness.Push("small", 1'000, false, 1);
    harness.Push("double", 2'000, false, 2);
  }
  harness.Drain(200);
  const auto big = static_cast<double>(harness.StartedOf("big").value());
  const auto small = static_cast<double>(harness.StartedOf("small").value());
  const auto twice = static_cast<double>(harness.StartedOf("double").value());
  CHECK(small == doctest::Approx(big).epsilon(0.15));
  CHECK(twice == doctest::Approx(2 * big).epsilon(0.15));
}

TEST_CASE("An idle workspace accumulates no share [admission]") {
  QueueHarness harness;
  for (int i = 0; i < 100; ++i) {
    harness.Push("steady", 1'000);
  }
  harness.Drain(50);
  for (int i = 0; i < 50; ++i) {
    harness.Push("late", 1'000);
  }
  harness.started.clear();
  harness.Drain(20);
  CHECK(harness.StartedOf("late") <= TokenCount(11'000));
  CHECK(harness.StartedOf("steady") >= TokenCount(9'000));
}

TEST_CASE("A higher priority starts first [admission]") {
  QueueHarness harness;
  harness.Push("a", 100, false, 1, 0);
  const RequestId urgent = harness.Push("b", 100, false, 1, 5);
  harness.Drain(1);
  REQUIRE(harness.started.size() == 1);
  CHECK(harness.started.front().request == urgent);
}

TEST_CASE(
    "Small requests overtake a large one without capacity up to the limit "
    "[admission]") {
  QueueHarness harness;
  harness.Push("archive", 900'000, true);
  for (int i = 0; i < 200; ++i) {
    harness.Push("desk", 50'000);
  }
  harness.Drain(1000, false);
  const TokenCount overtaking = harness.StartedOf("desk");
  CHECK(overtaking >= FairQueue::kMaxOvertakingTokens);
  CHECK(overtaking <= FairQueue::kMaxOvertakingTokens + TokenCount(50'000));
  harness.Drain(1000, false);
  CHECK(harness.StartedOf("desk") == overtaking);
  harness.Push("instant", 2'000);
  harness.Drain(1000, false);
  CHECK(harness.StartedOf("instant") == TokenCount(2'000));
  harness.Drain(1, true);
  CHECK(harness.StartedOf("archive") == TokenCount(900'000));
}

TEST_CASE(
    "A large request that never fits holds others for a limited time "
    "[admission]") {
  QueueHarness harness;
  harness.Push("archive", 900'000, true);
  for (int i = 0; i < 200; ++i) {
    harness.Push("desk", 50'000);
  }
  harness.Drain(1000, false);
  const TokenCount before = harness.StartedOf("desk");
  harness.clock.Advance(FairQueue::kMaxHoldForLarge);
  harness.Drain(1000, false);
  CHECK(harness.StartedOf("desk") > before);
}

TEST_CASE(
    "Small requests get at least three of four starts "
    "[admission]") {
  QueueHarness harness;
  for (int i = 0; i < 40; ++i) {
    harness.Push("archive", 900'000, true);
    harness.Push("desk", 1'000);
    harness.Push("desk", 1'000);
    harness.Push("desk", 1'000);
  }
  harness.Drain(40);
  CHECK(harness.StartedOf("desk") >= TokenCount(29'000));
  CHECK(harness.StartedOf("archive") >= TokenCount(8'100'000));
}

TEST_CASE(
    "Large requests of all workspaces start in order of arrival "
    "[admission]") {
  QueueHarness harness;
  const RequestId first = harness.Push("a", 900'000, true);
  const RequestId second = harness.Push("b", 200'000, true, 100);
  harness.Drain(2);
  REQUIRE(harness.started.size() == 2);
  CHECK(harness.started[0].request == first);
  CHECK(harness.started[1].request == second);
}

TEST_CASE(
    "A request past its deadline is returned at once and not offered "
    "[admission]") {
  QueueHarness harness;
  harness.Push("a", 100);
  harness.Push("b", 900'000, true);
  CHECK(harness.queue.NextDeadline() == harness.clock.Now() + seconds(60));
  harness.clock.Advance(seconds(60));
  CHECK(harness.queue.TakeExpired().size() == 2);
  CHECK(harness.queue.Size() == 0);
  CHECK(harness.queue.NextDeadline() == MonotonicTime::max());
  harness.Drain(10);
  CHECK(harness.started.empty());
}

TEST_CASE(
    "A removed request is not offered and no longer counted "
    "[admission]") {
  QueueHarness harness;
  const RequestId small = harness.Push("a", 100);
  const RequestId large = harness.Push("a", 900'000, true);
  CHECK(harness.queue.Tokens(ServiceId("lm")) == TokenCount(900'100));
  CHECK(harness.queue.Remove(small));
  CHECK(harness.queue.Remove(large));
  CHECK_FALSE(harness.queue.Remove(large));
  CHECK(harness.queue.Size(ServiceId("lm")) == 0);
  CHECK(harness.queue.Tokens(ServiceId("lm")) == TokenCount(0));
  harness.Drain(10);
  CHECK(harness.started.empty());
}

}  // namespace
}  // namespace kingcupdrift
