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
    /// A Begin that was withdrawn or timed out after its intent may have been
    /// written: replaces the intent by a tombstone, or proves it absent.
    kRollback,
    /// Moves this attempt's record to `target`.
    kFinish,
  };

  Kind kind = Kind::kBegin;
  Digest128 key;
  Digest128 attempt;
  /// After this time, an operation that no callback waits for is dropped, and a
  /// Begin whose intent became durable is answered kExpired.
  WallTime keep_until{};
  /// The operation is written at this time, or earlier together with another.
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

  /// The operation has been part of a write.
  bool was_sent = false;
  /// The operation is part of a write that is in flight or of unknown effect.
  bool may_be_written = false;
  /// Fires at the operation's timeout and answers its callback; a Begin is then
  /// rolled back.
  std::unique_ptr<Timer> timer;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_OPERATION_H_
