#ifndef KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_OPERATION_H_
#define KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_OPERATION_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/internal/shard_state.h"
#include "kingcupdrift/idempotency/journal_types.h"

namespace kingcupdrift {

/// One change that waits to become durable in a shard.
struct ShardOperation {
  enum class Kind {
    kBegin,
    /// A Begin nobody waits for: makes sure that no intent of it stays.
    kRollback,
    /// Moves the own entry to `target`.
    kFinish,
  };

  Kind kind = Kind::kBegin;
  Digest128 key;
  Digest128 attempt;
  /// Latest time at which the operation is still worth writing.
  WallTime keep_until{};
  /// Written then, or earlier with another operation.
  MonotonicTime due_at{};
  /// Position in the order of arrival.
  std::uint64_t arrival = 0;

  // Of kBegin.
  std::uint64_t fingerprint = 0;
  WallTime run_until{};
  std::function<void(BeginResult)> on_begin;

  // Of kFinish.
  EntryState target = EntryState::kCompleted;
  StoredResult result;
  std::function<void(Result<void>)> on_done;

  /// Was part of a write.
  bool was_sent = false;
  /// Part of a write whose effect is not known.
  bool may_be_written = false;
  /// Ends the wait of whoever asked.
  std::unique_ptr<Timer> timer;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_OPERATION_H_
