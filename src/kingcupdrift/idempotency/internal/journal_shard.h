#ifndef KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_JOURNAL_SHARD_H_
#define KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_JOURNAL_SHARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/internal/shard_operation.h"
#include "kingcupdrift/idempotency/internal/shard_state.h"
#include "kingcupdrift/idempotency/journal_types.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Dependencies, options and counters that all shards of one journal share.
struct ShardContext {
  Clock& clock;
  Random& random;
  PlatformStore& store;
  const JournalOptions& options;
  JournalCounters& counters;
};

/// Queues the operations on one shard and carries them out by reads and
/// compare-and-swaps of the shard's value, one call at a time, with many
/// operations to a write.
class JournalShard {
 public:
  /// With `forget_after`, the records of keys are dropped that long after their
  /// `run_until`; without it, they stay as long as the shard.
  JournalShard(ShardContext context,
               std::string shard_key,
               std::optional<Duration> forget_after = {});
  ~JournalShard();
  JournalShard(const JournalShard&) = delete;
  JournalShard& operator=(const JournalShard&) = delete;

  /// Queues an operation. At `give_up_at` its callback gets a timeout answer:
  /// kDeadlineExceeded for a finish, kUnresolved for a Begin that may have been
  /// written, otherwise kStoreUnavailable. After that, a finish goes on in the
  /// background until `keep_until`, a Begin that may have been written is
  /// rolled back there, and a Begin that cannot have been written is dropped.
  void Add(ShardOperation operation, MonotonicTime give_up_at);
  /// Withdraws a Begin; its callback does not run, unless it is already due in
  /// the pass that runs another callback, which makes this call.
  void CancelBegin(const Digest128& key, const Digest128& attempt);

  bool is_idle() const { return operations_.empty() && !is_call_in_flight_; }
  std::size_t pending() const { return operations_.size(); }

 private:
  using AnswerCallback = std::function<void()>;

  /// What one pass over the queued operations found.
  struct Plan {
    ShardChanges changes;
    /// `ShardState::bytes` with the changes.
    std::size_t bytes = 0;
    /// Operations whose changes are in `changes`.
    std::vector<std::uint64_t> changing;
    std::vector<std::uint64_t> finished_operations;
    std::vector<AnswerCallback> answers;
    /// A change is due to be written.
    bool is_due = false;
    /// A write must move the shard's version, with or without changes.
    bool needs_fence = false;
    /// An answer needs a read newer than its operation.
    bool needs_read = false;
  };

  void ProcessOperations();
  void Schedule(MonotonicTime time);
  MonotonicTime EarliestDue() const;
  void DropOutdated();

  Plan MakePlan();
  static void Change(std::uint64_t id,
                     const ShardOperation& operation,
                     ShardEntry entry,
                     const ShardState& state,
                     Plan& plan);
  void PlanOperation(std::uint64_t id, ShardOperation& operation, Plan& plan);
  void PlanBegin(std::uint64_t id, ShardOperation& operation, Plan& plan);
  void PlanRollback(std::uint64_t id, ShardOperation& operation, Plan& plan);
  void PlanFinish(std::uint64_t id, ShardOperation& operation, Plan& plan);
  void Execute(Plan plan);
  static void RunAnswers(const std::vector<AnswerCallback>& answers,
                         const std::weak_ptr<bool>& guard);

  void Read();
  void UpdateContention(StoreVersion version);
  void ResolveUnknownWrite();
  void OnRead(const Result<std::optional<StoreValue>>& value,
              std::uint64_t as_of);
  void AdoptState(ShardState state, StoreVersion version, std::uint64_t as_of);
  void Write(Plan& plan);
  void OnWritten(const Result<StoreVersion>& written);
  void OnWriteFailed(const Error& error);
  void ClearWrittenMarks();
  void BackOff();

  void OnTimeout(std::uint64_t id);
  void RollBack(std::uint64_t id);

  ShardContext context_;
  std::string shard_key_;
  std::optional<Duration> forget_after_;
  std::map<std::uint64_t, ShardOperation> operations_;
  std::uint64_t next_arrival_ = 1;

  bool has_state_ = false;
  ShardState state_;
  StoreVersion version_;
  // Arrival number of the newest operation that was queued when the read or
  // write that gave `state_` was sent.
  std::uint64_t state_as_of_ = 0;
  // Set while other entries (serving processes) write this shard too: a read
  // before each write is then cheaper than a write that conflicts.
  bool is_contended_ = false;
  bool is_state_read_ = false;
  int uncontended_reads_ = 0;

  bool is_call_in_flight_ = false;
  ShardChanges in_flight_changes_;
  std::uint64_t in_flight_fence_ = 0;
  StoreVersion in_flight_expected_version_;
  std::uint64_t in_flight_as_of_ = 0;
  // Version that a write of unknown effect expects: while the shard has this
  // version, the write may still be applied.
  std::optional<StoreVersion> unknown_write_version_;

  int failures_in_a_row_ = 0;
  MonotonicTime not_before_{};
  std::unique_ptr<Timer> process_timer_;
  // Checked by callbacks, which may run after destruction.
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_JOURNAL_SHARD_H_
