// Changes of the store at entries (serving processes) whose work takes time and
// whose links are narrow: each version of a large configuration costs processor
// time that requests, messages and timers have to wait for.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/forwarding/busy_entries_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFleetSizes[] = {1, 6, 24, 89, 195};
/// Time from the store's acknowledgement of a change until all entries follow
/// it, on the operators' large deployments.
constexpr Duration kBound = seconds(3);
constexpr Duration kStormGap = milliseconds(330);
constexpr int kStormVersions = 18;
/// Share of each processor that requests take.
constexpr double kLoad = 0.6;

/// Versions and the times at which the store acknowledged them.
struct StormRun {
  explicit StormRun(int count) : harness(count) {}

  void PutNext() {
    harness.PutConfig(static_cast<int>(acknowledged.size()) + kFirstVersion);
    acknowledged.push_back(harness.clock.Now());
  }

  /// Checks after each step that no entry is behind a version that was
  /// acknowledged longer ago than the bound.
  void Run(Duration duration) {
    const MonotonicTime end = harness.clock.Now() + duration;
    while (harness.clock.Now() < end) {
      harness.Run(kStep, kLoad);
      int due_version = 0;
      for (std::size_t i = 0; i < acknowledged.size(); ++i) {
        if (harness.clock.Now() - acknowledged[i] > kBound) {
          due_version = static_cast<int>(i) + kFirstVersion;
        }
      }
      late += harness.CountBehind(due_version);
    }
  }

  static constexpr int kFirstVersion = 2;
  static constexpr Duration kStep = milliseconds(110);
  BusyHarness harness;
  std::vector<MonotonicTime> acknowledged;
  /// Entries that were behind the bound, summed over all steps.
  int late = 0;
};

// Guards against entries that spend all their time on reading versions of a
// large configuration, most of them already replaced, and fall seconds behind.
TEST_CASE("large configurations in quick succession delay no busy entry") {
  for (const int count : kFleetSizes) {
    CAPTURE(count);
    StormRun run(count);
    run.PutNext();
    run.Run(seconds(3));
    for (int i = 0; i < kStormVersions; ++i) {
      run.PutNext();
      run.Run(kStormGap);
    }
    run.Run(kBound + milliseconds(500));
    CHECK(run.late == 0);
    CHECK(run.harness.CountBehind(kStormVersions + StormRun::kFirstVersion) ==
          0);
  }
}

// Guards against the record of a target that leaves, or its removal, that waits
// for a large configuration stored before it.
TEST_CASE("a leaving target is known while large configurations are read") {
  for (const int count : kFleetSizes) {
    CAPTURE(count);
    StormRun run(count);
    run.PutNext();
    run.Run(seconds(2));
    const auto run_storm = [&run](Duration duration) {
      const MonotonicTime end = run.harness.clock.Now() + duration;
      while (run.harness.clock.Now() < end) {
        run.PutNext();
        run.Run(kStormGap);
      }
    };
    run_storm(seconds(1));
    run.harness.Put("targets/t1", "draining 7");
    run.harness.Delete("targets/t2");
    run_storm(kBound);
    CHECK_FALSE(run.harness.IsUsedAnywhere("t1"));
    CHECK_FALSE(run.harness.IsUsedAnywhere("t2"));
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
