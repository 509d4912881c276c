#ifndef KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_RULES_H_
#define KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_RULES_H_

#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/internal/shard_state.h"
#include "kingcupdrift/idempotency/journal_types.h"

namespace kingcupdrift {

/// What a Begin finds in a shard.
struct BeginRuling {
  /// The state was changed and must be written before `status` holds.
  bool is_change = false;
  BeginStatus status = BeginStatus::kStarted;
  std::optional<StoredResult> result;
};

struct BeginFacts {
  Digest128 key;
  Digest128 attempt;
  std::uint64_t fingerprint = 0;
  WallTime run_until{};
  WallTime now{};
  /// This operation was part of a write, so an intent with its attempt in the
  /// state is its own.
  bool was_sent = false;
};

/// Adds an intent where the key is free or a tombstone; otherwise tells what
/// stands there. Never touches another attempt's intent.
BeginRuling ApplyBegin(const BeginFacts& facts,
                       const JournalLimits& limits,
                       ShardState& state);

enum class FinishRuling {
  /// The state was changed and must be written.
  kChange,
  /// The entry is already as wanted.
  kSettled,
  /// The entry is another attempt's, or absent, or past changing.
  kForeign,
};

/// Moves the own entry to `target`. A result's body is kept only where it fits.
FinishRuling ApplyFinish(const Digest128& key,
                         const Digest128& attempt,
                         EntryState target,
                         const StoredResult& result,
                         const JournalLimits& limits,
                         ShardState& state);

/// Replaces the own intent by a tombstone, if there is one; true if changed.
bool ApplyWithdraw(const Digest128& key,
                   const Digest128& attempt,
                   ShardState& state);

/// Drops the entries whose calls' time limits ended before `time`.
void ForgetBefore(WallTime time, ShardState& state);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_RULES_H_
