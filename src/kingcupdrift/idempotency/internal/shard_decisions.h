#ifndef KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_DECISIONS_H_
#define KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_DECISIONS_H_

#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/internal/shard_state.h"
#include "kingcupdrift/idempotency/journal_types.h"

namespace kingcupdrift {

/// What a Begin changes in a shard, and its answer.
struct BeginDecision {
  /// Must be durable before `status` may be reported.
  std::optional<ShardEntry> change;
  BeginStatus status = BeginStatus::kStarted;
  std::optional<StoredResult> result;
};

struct BeginInput {
  Digest128 key;
  Digest128 attempt;
  std::uint64_t fingerprint = 0;
  WallTime run_until{};
  WallTime now{};
  /// This Begin was sent in a write: if the shard holds an intent with its
  /// attempt, that intent is its own.
  bool was_sent = false;
};

/// Plans an intent if the key has no record, or a tombstone with the same
/// fingerprint; otherwise returns the status of the record found. kOverflow if
/// the intent does not fit into the shard. Never changes another attempt's
/// intent. `bytes` is `ShardState::bytes` with the changes planned so far.
BeginDecision DecideBegin(const BeginInput& input,
                          const JournalOptions& options,
                          const ShardState& state,
                          std::size_t bytes);

enum class FinishStatus {
  /// The change must be written.
  kWriteNeeded,
  /// The record already has the target state.
  kAlreadyApplied,
  /// The record is missing, of another attempt, or in a state that can't become
  /// the target state.
  kNotOwned,
};

struct FinishDecision {
  FinishStatus status = FinishStatus::kNotOwned;
  std::optional<ShardEntry> change;
};

/// Plans the move of this attempt's record to `target`. A result's body is
/// stored only if it is small enough and fits into the shard.
FinishDecision DecideFinish(const Digest128& key,
                            const Digest128& attempt,
                            EntryState target,
                            const StoredResult& result,
                            const JournalOptions& options,
                            const ShardState& state,
                            std::size_t bytes);

/// The tombstone that replaces this attempt's intent; empty if the shard holds
/// no such intent.
std::optional<ShardEntry> DecideRollback(const Digest128& key,
                                         const Digest128& attempt,
                                         const ShardState& state);

/// Removes the records whose `run_until` is before `time`.
void ForgetBefore(WallTime time, ShardState& state);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_DECISIONS_H_
