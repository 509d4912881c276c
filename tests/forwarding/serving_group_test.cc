#include "kingcupdrift/forwarding/serving_group.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "tests/forwarding/peer_exchange_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 5;
constexpr double kSmallCores = 0.12;
constexpr double kLargeCores = 0.5;

/// Every tenth entry is large.
double CoresOf(int number) {
  return number % 10 == 0 ? kLargeCores : kSmallCores;
}

EntryRecord FleetRecord(int number) {
  EntryRecord record;
  record.id = InstanceId("entry-" + std::to_string(number));
  const std::string host = "10.0." + std::to_string(number / 200) + "." +
                           std::to_string(number % 200 + 1);
  record.peer_endpoint = {host, 7000};
  record.caller_endpoint = {host, 8000};
  record.failure_domain =
      FailureDomain("domain-" + std::to_string(number / 2 % kDomains));
  record.cores = CoresOf(number);
  return record;
}

std::vector<ServingCandidate> Candidates(int count) {
  std::vector<ServingCandidate> candidates;
  for (int i = 0; i < count; ++i) {
    const EntryRecord record = FleetRecord(i);
    candidates.push_back({record.id, record.failure_domain, record.cores});
  }
  return candidates;
}

TEST_CASE("small fleets serve together") {
  for (const int count : {1, 6, 8, 16}) {
    CHECK(ChooseServingGroup(Candidates(count), 0).size() ==
          static_cast<std::size_t>(count));
  }
}

TEST_CASE("the group does not grow with the fleet but with its load") {
  for (const int count : {70, 195, 1000}) {
    CHECK(ChooseServingGroup(Candidates(count), 0).size() ==
          kMinServingGroupSize);
  }
  std::vector<ServingCandidate> candidates = Candidates(195);
  for (ServingCandidate& it : candidates) {
    it.cores = kSmallCores;
  }
  const double requests_per_second = 400;
  const auto group = ChooseServingGroup(candidates, requests_per_second);
  CHECK(static_cast<double>(group.size()) * kSmallCores >=
        kServingGroupHeadroom * kCoreSecondsPerRequest * requests_per_second);
  // More than all entries can serve.
  CHECK(ChooseServingGroup(candidates, 1e9).size() == candidates.size());
}

TEST_CASE("the largest entries of each failure domain serve first") {
  const auto candidates = Candidates(195);
  const auto group = ChooseServingGroup(candidates, 0);
  std::map<FailureDomain, int> domains;
  for (const ServingCandidate& it : candidates) {
    if (group.contains(it.id)) {
      ++domains[it.failure_domain];
    }
  }
  CHECK(domains.size() == kDomains);
  for (const auto& [domain, count] : domains) {
    CHECK(count >= static_cast<int>(kMinServingGroupSize) / kDomains);
  }
}

/// A fleet whose entries are all listed at all entries.
struct FleetHarness {
  explicit FleetHarness(int count) {
    for (int i = 0; i < count; ++i) {
      entries.push_back(
          std::make_unique<TestEntry>(network, clock, FleetRecord(i)));
      entries.back()->state.requests_per_second = 1;
    }
    for (int i = 0; i < count; ++i) {
      for (int j = 0; j < count; ++j) {
        entries[Index(i)]->peer_exchange.Update(
            "key-" + std::to_string(j), FleetRecord(j),
            {StoreEra(), StoreVersion(j + 1)});
      }
      entries[Index(i)]->peer_exchange.Start();
    }
    clock.Advance(seconds(1));
  }

  static std::size_t Index(int i) { return static_cast<std::size_t>(i); }
  void Kill(int i) {
    network.disconnected.insert(FleetRecord(i).peer_endpoint);
    killed.insert(i);
  }
  std::vector<int> Serving() const {
    std::vector<int> serving;
    for (int i = 0; i < static_cast<int>(entries.size()); ++i) {
      if (!killed.contains(i) &&
          entries[Index(i)]->peer_exchange.is_serving()) {
        serving.push_back(i);
      }
    }
    return serving;
  }
  /// Endpoints that an entry names to callers and that are running.
  std::size_t CountUsable(int i) const {
    std::size_t n = 0;
    const auto endpoints =
        entries[Index(i)]->peer_exchange.ListCallerEndpoints();
    for (int j = 0; j < static_cast<int>(entries.size()); ++j) {
      if (!killed.contains(j) &&
          std::find(endpoints.begin(), endpoints.end(),
                    FleetRecord(j).caller_endpoint) != endpoints.end()) {
        ++n;
      }
    }
    return n;
  }

  ManualClock clock;
  TestPeerNetwork network{clock};
  std::vector<std::unique_ptr<TestEntry>> entries;
  std::set<int> killed;
};

TEST_CASE("all entries send callers to the same few") {
  FleetHarness harness(60);
  CHECK(harness.Serving().size() == kMinServingGroupSize);
  const auto named = harness.entries[0]->peer_exchange.ListCallerEndpoints();
  for (const auto& it : harness.entries) {
    auto endpoints = it->peer_exchange.ListCallerEndpoints();
    CHECK(endpoints.size() == named.size());
    CHECK(std::is_permutation(endpoints.begin(), endpoints.end(), named.begin(),
                              named.end()));
  }
}

TEST_CASE("work notes go to the group only, and few messages to the reserve") {
  constexpr std::uint64_t kFleetSize = 60;
  constexpr std::uint64_t kHeartbeats = 10;
  FleetHarness harness(kFleetSize);
  harness.network.messages = 0;
  harness.network.notes = 0;
  const int sender = harness.Serving()[0];
  WorkNote note;
  note.attempt = AttemptId("a");
  harness.entries[FleetHarness::Index(sender)]->peer_exchange.BroadcastWork(
      note);
  harness.clock.Advance(seconds(4));
  CHECK(harness.network.notes == kMinServingGroupSize - 1);
  // Heartbeats between each member and each other entry, both ways.
  CHECK(harness.network.messages <=
        2 * kHeartbeats * kMinServingGroupSize * kFleetSize + kFleetSize);
}

TEST_CASE("a member that dies is replaced within two seconds") {
  FleetHarness harness(60);
  for (int i = 0; i < 10; ++i) {
    harness.Kill(harness.Serving()[0]);
    harness.clock.Advance(seconds(2) + milliseconds(200));
    REQUIRE(harness.Serving().size() == kMinServingGroupSize);
    CHECK(harness.CountUsable(harness.Serving()[0]) == kMinServingGroupSize);
  }
}

TEST_CASE("most of a group dies together with those next in line") {
  FleetHarness harness(60);
  const std::vector<int> serving = harness.Serving();
  for (std::size_t i = 0; i < serving.size() - 2; ++i) {
    harness.Kill(serving[i]);
  }
  harness.clock.Advance(seconds(2));
  for (const int it : harness.Serving()) {
    if (std::find(serving.begin(), serving.end(), it) == serving.end()) {
      harness.Kill(it);
    }
  }
  harness.clock.Advance(seconds(5));
  CHECK(harness.Serving().size() == kMinServingGroupSize);
  for (const int it : harness.Serving()) {
    CHECK(harness.CountUsable(it) == kMinServingGroupSize);
  }
}

TEST_CASE("a whole group dies at once") {
  FleetHarness harness(60);
  for (const int it : harness.Serving()) {
    harness.Kill(it);
  }
  harness.clock.Advance(seconds(3));
  CHECK(harness.Serving().size() == kMinServingGroupSize);
  // An entry that stays in reserve sends its callers there as well.
  CHECK(harness.CountUsable(59) == kMinServingGroupSize);
}

TEST_CASE("a draining member is replaced at once and still hears the others") {
  FleetHarness harness(60);
  const int leaving = harness.Serving()[0];
  TestEntry& entry = *harness.entries[FleetHarness::Index(leaving)];
  entry.state.is_leaving = true;
  entry.peer_exchange.BroadcastState();
  harness.clock.Advance(milliseconds(600));
  const auto endpoints =
      harness.entries[FleetHarness::Index(harness.Serving()[1])]
          ->peer_exchange.ListCallerEndpoints();
  CHECK(endpoints.size() == kMinServingGroupSize);
  CHECK(std::find(endpoints.begin(), endpoints.end(),
                  FleetRecord(leaving).caller_endpoint) == endpoints.end());
}

TEST_CASE("the parts of a shared limit do not exceed it together") {
  for (const int count : {6, 16, 17, 60}) {
    FleetHarness harness(count);
    double sum = 0;
    double largest = 0;
    for (const auto& it : harness.entries) {
      const double part =
          1 / static_cast<double>(it->peer_exchange.CountLimitShares());
      sum += part;
      largest = std::max(largest, part);
    }
    CHECK(sum <= 1.0001);
    CHECK(largest >= 1.0 / (2 * kMinServingGroupSize));
  }
}

TEST_CASE("limits of engines are divided among the group in reach") {
  for (const int count : {6, 60}) {
    CAPTURE(count);
    FleetHarness harness(count);
    const std::size_t group =
        std::min(kMinServingGroupSize, static_cast<std::size_t>(count));
    const auto sending = [&](int i) {
      return harness.entries[FleetHarness::Index(i)]
          ->peer_exchange.ListSendingEntries();
    };
    for (int i = 0; i < count; ++i) {
      CHECK(sending(i).size() == group);
    }
    const int dead = harness.Serving()[0];
    harness.Kill(dead);
    harness.clock.Advance(seconds(3));
    const int other = harness.Serving()[0];
    const auto left = sending(other);
    CHECK(left.size() == (count > 16 ? group : group - 1));
    CHECK(std::find(left.begin(), left.end(), FleetRecord(dead).id) ==
          left.end());
    // The killed one hears nobody: it may be the only one that is cut off.
    CHECK(sending(dead).size() == static_cast<std::size_t>(count));
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
