#ifndef KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_DECISIONS_H_
#define KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_DECISIONS_H_

#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/internal/shard_state.h"
#include "kingcupdrift/idempotency/journal_types.h"

namespace kingcupdrift {

/// What a Begin finds in a shard.
struct BeginDecision {
  /// To be written before `status` holds.
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
  /// This operation was part of a write, so an intent with its attempt in the
  /// state is its own.
  bool was_sent = false;
};

/// An intent where the key is free or a tombstone; otherwise tells what stands
/// there. Never touches another attempt's intent. `bytes` is the shard's size
/// with the changes planned so far.
BeginDecision DecideBegin(const BeginInput& input,
                          const JournalOptions& options,
                          const ShardState& state,
                          std::size_t bytes);

enum class FinishStatus {
  /// The change must be written.
  kWriteNeeded,
  /// The entry is already as wanted.
  kAlreadyApplied,
  /// The entry is another attempt's, or absent, or past changing.
  kNotOwned,
};

struct FinishDecision {
  FinishStatus status = FinishStatus::kNotOwned;
  std::optional<ShardEntry> change;
};

/// Moves the own entry to `target`. A result's body is kept only where it fits.
FinishDecision DecideFinish(const Digest128& key,
                            const Digest128& attempt,
                            EntryState target,
                            const StoredResult& result,
                            const JournalOptions& options,
                            const ShardState& state,
                            std::size_t bytes);

/// The tombstone that replaces the own intent, if there is one.
std::optional<ShardEntry> DecideRollback(const Digest128& key,
                                         const Digest128& attempt,
                                         const ShardState& state);

/// Drops the entries whose calls' time limits ended before `time`.
void ForgetBefore(WallTime time, ShardState& state);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_DECISIONS_H_
