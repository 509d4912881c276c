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

/// Priority of calls that wait for the budget, highest first.
enum class StorePriority {
  /// The journal of non-idempotent requests.
  kJournal,
  /// The site's configuration.
  kConfig,
  /// The placement lease, held by the process that decides placements.
  kLease,
  /// Deletion of expired journal shards.
  kSweep
};
inline constexpr std::size_t kStorePriorityCount = 4;

enum class StoreCallKind {
  /// Get and List.
  kRead,
  /// Compare-and-swap and -delete; granting, keeping and revoking leases.
  kWrite
};

struct StoreBudgetOptions {
  /// Rate limits of all entries (serving processes) together, below the
  /// capacity of the store.
  double total_reads_per_second = 1600;
  double total_writes_per_second = 320;
  /// Rate limits of one entry, however few entries share the totals.
  double max_reads_per_second = 200;
  double max_writes_per_second = 40;
  /// Size of the token buckets: the calls that may go at once after an idle
  /// time, as seconds of the rate.
  double burst_seconds = 1.0;
  /// Watches that this process may have open at once.
  std::uint32_t max_watches = 8;
  /// Limit of the calls that wait for the budget, for each priority; more are
  /// refused.
  std::size_t max_waiting = 1000;
  /// Timeout of a waiting call, which is refused then.
  Duration max_wait = std::chrono::seconds(2);
  /// Time before the first probe of a store that counts as down. It doubles
  /// with each call that fails while the store counts as down, also one sent
  /// before, up to `max_backoff`, and is multiplied by a jitter of 0.5 to 1.5.
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(5);
  /// After an outage the rate grows from this share of its limit to all of it
  /// within `recovery`.
  double recovery_share = 0.1;
  Duration recovery = std::chrono::seconds(5);
  /// Calls in a row without a reply after which the store counts as down.
  int failures_until_down = 3;
};

struct StoreBudgetCounters {
  /// Calls admitted, probes included.
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches_started = 0;
  /// Calls at whose arrival no call left the queue of their priority: about
  /// those that had to wait, also if they were refused later. A call that waits
  /// while an older one leaves is not counted.
  std::uint64_t delayed = 0;
  /// Calls refused; refused watches are not counted.
  std::uint64_t refused = 0;
  /// Admitted calls that got no reply, probes included.
  std::uint64_t failures = 0;
  /// Times at which the store began to count as down.
  std::uint64_t outages = 0;
};

/// Rate limit and circuit breaker for one entry's calls to the store, shared by
/// all users of the store in the process. While the store counts as down, one
/// call probes it after each jittered, doubling backoff. The other calls are
/// refused at once, so that no backlog waits for the store's return. A reply to
/// any admitted call ends the outage. A late failure of an older call starts a
/// new backoff, after which a second probe may go while the first is out.
class StoreBudget {
 public:
  /// `true`: the call must be sent now. `false`: it was refused and must not be
  /// sent.
  using AdmitCallback = std::function<void(bool is_admitted)>;

  StoreBudget(Clock& clock, Random& random, StoreBudgetOptions options = {});
  ~StoreBudget();
  StoreBudget(const StoreBudget&) = delete;
  StoreBudget& operator=(const StoreBudget&) = delete;

  /// Calls `admission` once, inside this call or later: with true to admit the
  /// call, with false to refuse it.
  void Admit(StorePriority priority,
             StoreCallKind kind,
             AdmitCallback admission);
  /// Reports whether the store replied to an admitted call, if only with an
  /// error. Due once for each admitted call: a probe without a report blocks
  /// the next one.
  void Report(bool has_replied);

  /// Sets the number of entries (serving processes) that share the totals
  /// evenly; 8 at first. Zero counts as one.
  void SetEntryCount(std::size_t n) { entry_count_ = n == 0 ? 1 : n; }

  /// Reserves a watch; returns false if `max_watches` are open. `CloseWatch`
  /// gives it back.
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
  /// Takes the next waiting call that can be admitted or has timed out; null if
  /// there is none. `is_admitted` says which.
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
