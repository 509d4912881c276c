#ifndef KINGCUPDRIFT_STORE_STORE_BUDGET_H_
#define KINGCUPDRIFT_STORE_STORE_BUDGET_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Who goes first when calls must wait; the first is served first.
enum class StorePriority { kJournal, kConfig, kLease, kSweep };
inline constexpr std::size_t kStorePriorityCount = 4;

enum class StoreCallKind { kRead, kWrite };

struct StoreBudgetOptions {
  /// Calls a second of all entries together, below what the service takes.
  double total_reads_per_second = 1600;
  double total_writes_per_second = 320;
  /// Most that one entry takes of that, however few the entries are.
  double max_reads_per_second = 200;
  double max_writes_per_second = 40;
  /// Calls that may go at once after a quiet time, as seconds of the rate.
  double burst_seconds = 1.0;
  std::uint32_t max_watches = 8;
  /// Calls that wait for the budget, for each priority; more are refused.
  std::size_t max_waiting = 1000;
  /// A call that waited this long is refused.
  Duration max_wait = std::chrono::seconds(2);
  /// Pause after the first failure in a row; doubles up to `max_backoff`.
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(5);
  /// After an outage the rate grows from this share to the whole within
  /// `recovery`.
  double recovery_share = 0.1;
  Duration recovery = std::chrono::seconds(5);
  /// Failures in a row after which the store counts as down.
  int failures_until_down = 3;
};

struct StoreBudgetCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches_started = 0;
  std::uint64_t delayed = 0;
  std::uint64_t refused = 0;
  std::uint64_t failures = 0;
  std::uint64_t outages = 0;
};

/// Rate and back-off of one entry's calls to the store, shared by all of its
/// users. While the store is down, one call at a time probes it after a
/// jittered, doubling pause, and the others are refused at once with
/// kUnavailable, so that nothing piles up for its return.
class StoreBudget {
 public:
  /// `true`: send now. `false`: refused, nothing was sent.
  using AdmitCallback = std::function<void(bool is_admitted)>;

  StoreBudget(Clock& clock, Random& random, StoreBudgetOptions options = {});
  ~StoreBudget();
  StoreBudget(const StoreBudget&) = delete;
  StoreBudget& operator=(const StoreBudget&) = delete;

  /// Admits now (inside the call), later, or never.
  void Admit(StorePriority priority,
             StoreCallKind kind,
             AdmitCallback admission);
  /// Reports whether the service answered an admitted call.
  void Report(bool has_replied);

  /// Divides the totals evenly among `n` entries; 8 at first.
  void SetEntryCount(std::size_t n) { entry_count_ = n == 0 ? 1 : n; }

  bool TryOpenWatch();
  void CloseWatch();

  bool is_down() const { return is_down_; }
  std::uint32_t open_watches() const { return open_watches_; }
  const StoreBudgetCounters& counters() const { return counters_; }

 private:
  struct Waiting;
  struct Bucket {
    double tokens = 0;
    MonotonicTime filled_at{};
  };

  double RateOf(StoreCallKind kind) const;
  double RecoveryShare() const;
  bool TryTake(StoreCallKind kind);
  void Serve();
  void ArmTimer();
  void Count(StoreCallKind kind);
  /// Null when no waiting call can go or must be refused now.
  AdmitCallback TakeNext(bool& is_admitted);
  void EmptyBuckets();
  void StartOutage();
  void ScheduleNextProbe();
  void RefuseAll();

  Clock& clock_;
  Random& random_;
  StoreBudgetOptions options_;
  StoreBudgetCounters counters_;
  std::size_t entry_count_ = 8;
  std::array<Bucket, 2> buckets_;
  std::array<std::deque<Waiting>, kStorePriorityCount> waiting_;
  std::unique_ptr<Timer> timer_;
  std::uint32_t open_watches_ = 0;
  int failures_in_a_row_ = 0;
  bool is_down_ = false;
  bool is_probing_ = false;
  MonotonicTime next_probe_{};
  Duration backoff_{0};
  MonotonicTime recovered_at_{};
  bool is_recovering_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_STORE_BUDGET_H_
