#include "kingcupdrift/store/reader_election.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Entries that decide at the same interval, each from what it hears of the
/// others.
struct ElectionHarness {
  struct Member {
    InstanceId id;
    FailureDomain domain;
    double cores = 0;
    std::unique_ptr<ReaderElection> election;
    bool is_running = true;
    bool reaches_store = true;
    bool IsHealthy() const {
      return is_running && reaches_store && election->should_read();
    }
  };

  /// Of eight entries in a row, the first has `most_cores` and the others a
  /// quarter of it.
  ElectionHarness(int count, int domains, double most_cores = 0) {
    for (int i = 0; i < count; ++i) {
      Member member;
      member.id = InstanceId("entry-" + std::to_string(i));
      member.domain = FailureDomain("domain-" + std::to_string(i % domains));
      member.cores = i % 8 == 0 ? most_cores : most_cores / 4;
      member.election = std::make_unique<ReaderElection>(
          clock,
          ReaderCandidate{member.id, member.domain, false, member.cores});
      members.push_back(std::move(member));
    }
  }

  void Step() {
    std::vector<ReaderCandidate> all;
    for (const Member& it : members) {
      if (it.is_running) {
        all.push_back({it.id, it.domain, it.IsHealthy(), it.cores});
      }
    }
    for (Member& it : members) {
      if (!it.is_running) {
        continue;
      }
      std::vector<ReaderCandidate> peers;
      for (const ReaderCandidate& peer : all) {
        if (peer.id != it.id) {
          peers.push_back(peer);
        }
      }
      it.election->Update(peers, it.IsHealthy());
    }
    clock.Advance(milliseconds(200));
  }
  void Run(Duration time) {
    for (const MonotonicTime end = clock.Now() + time; clock.Now() < end;) {
      Step();
    }
  }
  std::vector<const Member*> Readers() const {
    std::vector<const Member*> readers;
    for (const Member& it : members) {
      if (it.is_running && it.election->should_read()) {
        readers.push_back(&it);
      }
    }
    return readers;
  }
  std::size_t CountHealthy() const {
    std::size_t n = 0;
    for (const Member& it : members) {
      n += it.IsHealthy() ? 1 : 0;
    }
    return n;
  }
  std::size_t CountFirst() const {
    std::size_t n = 0;
    for (const Member& it : members) {
      n += it.is_running && it.election->is_first_reader() ? 1 : 0;
    }
    return n;
  }

  ManualClock clock;
  std::vector<Member> members;
};

TEST_CASE("the number of readers does not grow with the number of entries") {
  for (const int count : {1, 2, 3, 6, 8, 72, 195, 1000}) {
    ElectionHarness harness(count, 5);
    harness.Step();
    harness.Step();
    const auto expected = std::min<std::size_t>(static_cast<std::size_t>(count),
                                                ReaderElection::kReaderCount);
    CHECK(harness.Readers().size() == expected);
    CHECK(harness.CountFirst() == 1);
  }
}

TEST_CASE("readers are in different failure domains") {
  ElectionHarness harness(70, 3);
  harness.Step();
  std::set<FailureDomain> domains;
  for (const auto* const it : harness.Readers()) {
    domains.insert(it->domain);
  }
  CHECK(domains.size() == 3);
}

// Guards against readers whose processors can't keep up with the changes that
// they handle for all others.
TEST_CASE("entries with the most cores read while they are there") {
  constexpr double kMostCores = 0.5;
  ElectionHarness harness(72, 3, kMostCores);
  harness.Run(seconds(1));
  for (const auto* const it : harness.Readers()) {
    CHECK(it->cores == kMostCores);
  }
  for (auto& it : harness.members) {
    it.is_running = it.cores < kMostCores;
  }
  harness.Run(seconds(1));
  CHECK(harness.CountHealthy() == ReaderElection::kReaderCount);
  CHECK(harness.CountFirst() == 1);
}

TEST_CASE("readers that die one after the other are replaced at once") {
  ElectionHarness harness(40, 4);
  harness.Run(seconds(1));
  for (int i = 0; i < 35; ++i) {
    const InstanceId dying = harness.Readers()[0]->id;
    for (auto& it : harness.members) {
      it.is_running = it.is_running && it.id != dying;
    }
    harness.Step();
    harness.Step();
    REQUIRE(harness.CountHealthy() == ReaderElection::kReaderCount);
    REQUIRE(harness.CountFirst() == 1);
  }
}

TEST_CASE("readers that the store turns away are relieved by a few others") {
  ElectionHarness harness(195, 5);
  harness.Run(seconds(1));
  for (auto& it : harness.members) {
    it.reaches_store = !it.election->should_read();
  }
  harness.Step();
  REQUIRE(harness.CountHealthy() == 0);
  harness.Run(ReaderElection::kTakeoverDelay + milliseconds(600));
  CHECK(harness.CountHealthy() >= 1);
  CHECK(harness.Readers().size() <= 40);
  harness.Run(seconds(3));
  CHECK(harness.CountHealthy() >= 1);
  CHECK(harness.Readers().size() <= 2 * ReaderElection::kReaderCount);
  // The first ones reach the store again, and the others stop.
  for (auto& it : harness.members) {
    it.reaches_store = true;
  }
  harness.Run(seconds(1));
  CHECK(harness.Readers().size() == ReaderElection::kReaderCount);
}

TEST_CASE("two thirds of the entries are lost at once") {
  ElectionHarness harness(195, 5);
  harness.Run(seconds(1));
  const auto readers = harness.Readers();
  for (const auto* const it : readers) {
    harness.members[static_cast<std::size_t>(it - harness.members.data())]
        .is_running = false;
  }
  for (std::size_t i = 0; i < harness.members.size(); i += 3) {
    harness.members[i].is_running = false;
    harness.members[(i + 1) % harness.members.size()].is_running = false;
  }
  harness.Step();
  CHECK(harness.CountHealthy() == ReaderElection::kReaderCount);
}

TEST_CASE("an entry without peers reads the store itself") {
  ElectionHarness harness(1, 1);
  harness.Step();
  harness.Step();
  CHECK(harness.Readers().size() == 1);
  CHECK(harness.members[0].election->is_first_reader());
}

}  // namespace
}  // namespace kingcupdrift::fakes
