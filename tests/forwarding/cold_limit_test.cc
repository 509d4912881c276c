// The limit of cold engines in fleets of `TargetRateLimiter`s that always have
// requests waiting: the sum over all entries within any second.

#include "kingcupdrift/forwarding/cold_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

#include "kingcupdrift/forwarding/target_rate_limiter.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EngineId kEngine("engine");
const ServiceId kService("model");
constexpr double kRate = 14;
constexpr ColdBound kBound{1.5, 5};
constexpr int kMostInASecond = 26;
constexpr Duration kColdTime = seconds(3);
constexpr Duration kStep = milliseconds(10);
/// Entries learn of each other up to this late.
constexpr Duration kNewsDelay = milliseconds(700);
/// Time to a new entry's complete list.
constexpr Duration kListTime = milliseconds(200);

std::map<ServiceId, ColdLimit> Limits(double rate, Duration cold_time) {
  ServingConfig config;
  config.services[kService].cold_time = cold_time;
  config.services[kService].cold_requests_per_second = rate;
  return MakeColdLimits(config, kBound);
}

TargetRecord Record(std::int64_t incarnation,
                    std::optional<Duration> left = std::nullopt) {
  TargetRecord record;
  record.address = {kEngine, {"10.0.0.1", 80}, Incarnation(incarnation)};
  record.service = kService;
  record.cold_left = left;
  return record;
}

/// Entries in one or two parts that do not hear each other.
class Fleet {
 public:
  Fleet(int count, int parts) : parts_(parts) {
    for (int i = 0; i < count; ++i) {
      Start(i);
    }
    // All know each other before the engine starts.
    Run(seconds(3));
  }

  void MakeCold(Duration left) {
    ++incarnation_;
    left_ = left;
    UpdateViews();
  }

  void Run(Duration time) {
    const MonotonicTime end = clock_.Now() + time;
    while (clock_.Now() < end) {
      Send();
      clock_.Advance(kStep);
    }
  }

  /// The entries fall apart into these parts, or hear each other again.
  void SetParts(int parts) { parts_ = parts; }

  /// Replaces the process at this place by one that knows nothing.
  void Restart(int place) {
    for (Entry& it : entries_) {
      if (it.place == place && !it.died_at) {
        it.died_at = clock_.Now();
      }
    }
    Start(place);
  }

  /// Most requests within any second.
  int FindMost() const {
    int most = 0;
    for (auto it = sent_.begin(); it != sent_.end(); ++it) {
      const auto end = std::upper_bound(it, sent_.end(), *it + seconds(1));
      most = std::max(most, static_cast<int>(end - it));
    }
    return most;
  }
  std::size_t CountSent() const { return sent_.size(); }

 private:
  struct Entry {
    int place = 0;
    InstanceId id;
    MonotonicTime started_at{};
    std::optional<MonotonicTime> died_at;
    /// Incarnation of the engine's last record that it got.
    std::int64_t known_incarnation = 0;
    std::unique_ptr<TargetRateLimiter> limiter;
  };

  void Start(int place) {
    Entry entry;
    entry.place = place;
    entry.id = InstanceId("entry-" + std::to_string(entries_.size()));
    entry.started_at = clock_.Now();
    entry.limiter = std::make_unique<TargetRateLimiter>(clock_, entry.id);
    entry.limiter->SetColdLimits(Limits(kRate, kColdTime));
    entries_.push_back(std::move(entry));
  }

  bool Knows(const Entry& entry, const Entry& other) const {
    if (&entry == &other) {
      return true;
    }
    // Differs between entries, so that their views differ after each change.
    const Duration delay =
        kNewsDelay * ((3 * entry.place + other.place) % 7) / 6;
    const MonotonicTime now = clock_.Now();
    return entry.place % parts_ == other.place % parts_ &&
           now - entry.started_at >= delay && now - other.started_at >= delay &&
           (!other.died_at || now - *other.died_at < delay);
  }

  void UpdateViews() {
    for (Entry& entry : entries_) {
      if (entry.died_at) {
        continue;
      }
      std::vector<InstanceId> known;
      for (const Entry& other : entries_) {
        if (Knows(entry, other)) {
          known.push_back(other.id);
        }
      }
      entry.limiter->SetEntries(std::move(known));
      if (entry.known_incarnation < incarnation_) {
        entry.known_incarnation = incarnation_;
        entry.limiter->UpdateTarget(Record(incarnation_, left_), false);
      }
      // The list comes with the engine's record.
      if (clock_.Now() - entry.started_at >= kListTime) {
        entry.limiter->SetTargetListComplete();
      }
    }
  }

  void Send() {
    if (clock_.Now().time_since_epoch() % milliseconds(100) ==
        Duration::zero()) {
      UpdateViews();
    }
    if (incarnation_ == 0) {
      return;
    }
    for (Entry& it : entries_) {
      while (!it.died_at && it.limiter->GetColdLeft(kEngine) > Duration{0} &&
             it.limiter->GetDelay(kEngine) == Duration::zero()) {
        it.limiter->CountRequest(kEngine);
        sent_.push_back(clock_.Now());
      }
    }
  }

  int parts_;
  ManualClock clock_;
  std::vector<Entry> entries_;
  std::int64_t incarnation_ = 0;
  Duration left_{0};
  std::vector<MonotonicTime> sent_;
};

constexpr int kFleetSizes[] = {1, 6, 33, 82, 195};

// Guards against engines that crash because each entry heeds the limit alone,
// and against capacity left unused while requests wait.
TEST_CASE("a fleet in touch stays within the bound and uses most of the rate") {
  constexpr Duration kTime = seconds(30);
  for (const int count : kFleetSizes) {
    CAPTURE(count);
    Fleet fleet(count, 1);
    fleet.MakeCold(kTime);
    fleet.Run(kTime);
    CHECK(fleet.FindMost() <= kMostInASecond);
    const double share = static_cast<double>(fleet.CountSent()) /
                         (kRate * std::chrono::duration<double>(kTime).count());
    MESSAGE(count << " entries use " << share << " of the rate, at most "
                  << fleet.FindMost() << " in a second");
    CHECK(share > 0.82);
    CHECK(share < 1);
  }
}

// Guards against two sets of senders that each use the whole bound.
TEST_CASE("two halves that do not hear each other stay within the bound") {
  for (const int count : kFleetSizes) {
    CAPTURE(count);
    Fleet fleet(count, 2);
    fleet.MakeCold(seconds(12));
    fleet.Run(seconds(12));
    MESSAGE(count << " entries in two halves send at most " << fleet.FindMost()
                  << " in a second");
    CHECK(fleet.FindMost() <= kMostInASecond);
    CHECK(fleet.FindMost() >= kRate / 2);
  }
}

// Guards against senders that use a larger part as soon as they miss others, or
// go on with it once they hear them again.
TEST_CASE("a fleet that falls apart and heals stays within the bound") {
  for (const int count : kFleetSizes) {
    CAPTURE(count);
    Fleet fleet(count, 1);
    fleet.MakeCold(seconds(25));
    for (int i = 0; i < 4; ++i) {
      fleet.Run(milliseconds(2330));
      fleet.SetParts(2);
      fleet.Run(milliseconds(2870));
      fleet.SetParts(1);
    }
    MESSAGE(count << " entries that fall apart send at most "
                  << fleet.FindMost() << " in a second");
    CHECK(fleet.FindMost() <= kMostInASecond);
  }
}

// Guards against new processes that send as if they were alone, and against
// those that succeed a dead sender and send at once.
TEST_CASE("entries that restart without memory stay within the bound") {
  for (const int count : kFleetSizes) {
    for (const int parts : {1, 2}) {
      CAPTURE(count);
      CAPTURE(parts);
      Fleet fleet(count, parts);
      fleet.MakeCold(seconds(20));
      for (int i = 0; i < 20; ++i) {
        fleet.Run(milliseconds(290));
        for (int j = 0; j < std::max(1, count / 10); ++j) {
          fleet.Restart((7 * i + 3 * j) % count);
        }
      }
      MESSAGE(count << " restarting entries in " << parts
                    << " part(s) send at most " << fleet.FindMost()
                    << " in a second");
      CHECK(fleet.FindMost() <= kMostInASecond);
    }
  }
}

// Guards against a burst when all entries are back at the same moment, each
// knowing only itself.
TEST_CASE("entries that all restart at once stay within the bound") {
  for (const int count : kFleetSizes) {
    CAPTURE(count);
    Fleet fleet(count, 1);
    fleet.MakeCold(seconds(10));
    fleet.Run(milliseconds(1150));
    for (int i = 0; i < count; ++i) {
      fleet.Restart(i);
    }
    const std::size_t before = fleet.CountSent();
    fleet.Run(seconds(5));
    CHECK(fleet.FindMost() <= kMostInASecond);
    CHECK(fleet.CountSent() > before);
  }
}

TEST_CASE("half of the bound and the mean rate both limit the quota") {
  const auto quota = [](double rate, double overshoot, double slack) {
    return *ComputeColdQuota(rate, {overshoot, slack});
  };
  CHECK(quota(14, 1.5, 5) == ColdQuota{13, kMinColdWindow});
  CHECK(quota(2, 1.5, 5) == ColdQuota{3, milliseconds(1500)});
  CHECK(quota(0.5, 1.5, 5) == ColdQuota{1, seconds(2)});
  // One request, although half of the bound is less.
  CHECK(quota(1, 1, 0) == ColdQuota{1, kMinColdWindow});
  for (const double rate : {0.1, 1.0, 7.0, 14.0, 100.0}) {
    for (const double overshoot : {1.0, 1.5, 4.0}) {
      for (const double slack : {2.0, 5.0}) {
        const ColdQuota it = quota(rate, overshoot, slack);
        CHECK(2 * static_cast<double>(it.requests) <= rate * overshoot + slack);
        CHECK(static_cast<double>(it.requests) <=
              rate * std::chrono::duration<double>(it.window).count() + 0.001);
        std::size_t sum = 0;
        for (std::size_t rank = 0; rank < 9; ++rank) {
          sum += GetQuotaPart(it, 9, rank);
        }
        CHECK(sum == it.requests);
      }
    }
  }
}

// Guards against figures that stop all requests or let the limiter remember
// without end.
TEST_CASE("figures without meaning set no limit, absurd ones are clamped") {
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  for (const double rate : {0.0, -14.0, kNan}) {
    CHECK_FALSE(ComputeColdQuota(rate, kBound));
    CHECK(Limits(rate, kColdTime).empty());
  }
  CHECK_FALSE(ComputeColdQuota(kRate, {0, 5}));
  CHECK_FALSE(ComputeColdQuota(kRate, {-1, 5}));
  CHECK_FALSE(ComputeColdQuota(kRate, {kNan, 5}));
  CHECK_FALSE(ComputeColdQuota(kRate, {1.5, -1}));
  CHECK(Limits(kRate, Duration::zero()).empty());
  CHECK(Limits(kRate, -kColdTime).empty());
  CHECK(MakeColdLimits(ServingConfig(), kBound).empty());
  const auto limits = Limits(1e300, std::chrono::hours(1000));
  CHECK(limits.at(kService).cold_time == kMaxColdTime);
  CHECK(limits.at(kService).quota.requests <= 2 * kMaxColdRequestsPerSecond);
  CHECK(ComputeColdQuota(1e-300, kBound)->window <= std::chrono::hours(24));
}

// Guards against a new process that sends in place of another entry while that
// one does not know of it yet.
TEST_CASE("an entry that learns of the others waits like a new sender") {
  constexpr int kCount = 16;
  std::vector<InstanceId> entries;
  entries.reserve(kCount);
  for (int i = 0; i < kCount; ++i) {
    entries.emplace_back("entry-" + std::to_string(i));
  }
  int senders = 0;
  for (const InstanceId& own : entries) {
    ManualClock clock;
    TargetRateLimiter limiter(clock, own);
    limiter.SetColdLimits(Limits(kRate, kColdTime));
    limiter.UpdateTarget(Record(1, seconds(20)), false);
    limiter.SetTargetListComplete();
    clock.Advance(kNewsDelay);
    limiter.SetEntries(entries);
    const Duration wait = TargetRateLimiter::kMaxNewsDelay + kMinColdWindow;
    if (*limiter.GetDelay(kEngine) < limiter.GetColdLeft(kEngine)) {
      CHECK(limiter.GetDelay(kEngine) == wait);
      ++senders;
    }
    clock.Advance(wait);
    CHECK((limiter.GetDelay(kEngine) == Duration::zero()) ==
          (limiter.GetDelay(kEngine) != limiter.GetColdLeft(kEngine)));
  }
  CHECK(senders == 13);
}

TEST_CASE("a declined request is returned, and a named limit holds as well") {
  ManualClock clock;
  TargetRateLimiter limiter(clock, InstanceId("entry-0"));
  limiter.SetColdLimits(Limits(kRate, kColdTime));
  limiter.SetTargetListComplete();
  clock.Advance(kMinColdWindow);
  CHECK(limiter.UpdateTarget(Record(1), false));
  MonotonicTime last{};
  for (int i = 0; i < 13; ++i) {
    REQUIRE(limiter.GetDelay(kEngine) == Duration::zero());
    last = limiter.CountRequest(kEngine);
  }
  CHECK(limiter.GetDelay(kEngine) == kMinColdWindow);
  limiter.ReturnRequest(kEngine, last);
  CHECK(limiter.GetDelay(kEngine) == Duration::zero());
  limiter.Update({kEngine, Incarnation(1), 0.0, Duration::zero()});
  CHECK(*limiter.GetDelay(kEngine) > kColdTime);
}

}  // namespace
}  // namespace kingcupdrift::fakes
