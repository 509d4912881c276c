#ifndef KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_TYPES_H_
#define KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/idempotency_key.h"

namespace kingcupdrift {

/// Asks for the right to run a non-idempotent request once.
struct BeginRequest {
  IdempotencyKey key;
  /// FastHash over everything that makes the request: method, target, body.
  std::uint64_t fingerprint = 0;
  /// Unique to this call (`Random::Token`).
  AttemptId attempt;
  /// How long after the key's creation it may be used; at most
  /// `JournalOptions::retention`.
  Duration window = std::chrono::hours(24);
  /// End of the request's time limit, by the wall clock. An intent past it is
  /// reported as kUnknownOutcome rather than as kInProgress.
  WallTime run_until{};
  /// The callback comes by this time, or earlier by
  /// `JournalOptions::begin_timeout`.
  MonotonicTime deadline{};
};

enum class BeginStatus {
  /// The intent is durable under this attempt: dispatch is allowed, once.
  kStarted,
  /// An earlier attempt finished; its result is attached. Not run again.
  kAlreadyCompleted,
  /// Another attempt's intent stands and its time limit has not passed: it may
  /// be running. Outcome unknown so far; ask again later.
  kInProgress,
  /// An earlier attempt ended with unknown effect. Never run again.
  kUnknownOutcome,
  /// The key was used for another request. This request was not run.
  kKeyReused,
  /// The key is past its window. This call ran nothing; an earlier call with
  /// the key may have run, so the outcome is unknown.
  kExpired,
  /// The key claims a creation time in the future. Not run.
  kKeyFromFuture,
  /// The journal's shard or queue is full. Not run.
  kOverflow,
  /// No intent was written and none can appear later. Not run.
  kStoreUnavailable,
  /// The intent may stand in the store. This attempt will not run; the journal
  /// goes on in the background until the intent is absent or a tombstone. The
  /// caller is told "unknown".
  kUnresolved,
};

/// "started", "already_completed" and so on, for logs and metrics.
std::string_view BeginStatusName(BeginStatus status);

/// What the caller is told when `status` is not kStarted. kAlreadyCompleted is
/// kCompleted; kStarted is kInternal misuse and maps to kUnknown.
Outcome BeginOutcome(BeginStatus status);

/// Result of a finished request, as kept for repeated calls.
struct StoredResult {
  /// HTTP status.
  int status = 0;
  /// Absent when the body was larger than `JournalOptions::max_result_bytes` or
  /// the shard had no room: only the status is known.
  std::optional<std::string> body;
  std::string content_type;
};

struct BeginResult {
  BeginStatus status = BeginStatus::kStoreUnavailable;
  /// With kAlreadyCompleted.
  std::optional<StoredResult> result;
};

/// Bounds and time spans of the journal. All entries of a site use the same
/// `bucket`, `shards_per_bucket` and `retention`: they decide where a key
/// lives.
struct JournalOptions {
  /// Keys created within one bucket share its shards.
  Duration bucket = std::chrono::minutes(1);
  std::uint32_t shards_per_bucket = 8;
  /// Shards of opaque keys, which have no bucket.
  std::uint32_t opaque_shards = 64;
  /// Longest use of a key after its creation; how long an opaque key is
  /// remembered after the end of its last call's time limit.
  Duration retention = std::chrono::hours(24);
  /// Shards are deleted this long after `retention`; instances' wall clocks
  /// must differ by less.
  Duration clock_skew_margin = std::chrono::hours(1);
  /// Keys created further ahead of the wall clock are refused.
  Duration max_key_time_ahead = std::chrono::minutes(5);
  /// Longest wait for an intent to become durable.
  Duration begin_timeout = std::chrono::seconds(2);
  /// Intents wait this long for others to share their write.
  Duration intent_batch_wait = std::chrono::milliseconds(5);
  /// Results and tombstones wait this long, or join an earlier write.
  Duration result_batch_wait = std::chrono::milliseconds(250);
  Duration min_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(1);
  /// Size of one shard's value; below the store's limit of 1 MB.
  std::size_t max_shard_bytes = 900'000;
  std::size_t max_result_bytes = 2'048;
  /// Operations waiting in this entry, over all shards.
  std::size_t max_pending = 10'000;
  /// Shards whose last value is kept in memory when idle.
  std::size_t max_cached_shards = 32;
  /// How far back of the oldest kept bucket a started entry sweeps.
  Duration sweep_lookback = std::chrono::hours(1);
  /// Expired shards that wait to be deleted, and calls of one sweep.
  std::size_t max_queued_expired_shards = 10'000;
  std::size_t max_sweep_calls = 64;
};

/// Running totals since start.
struct JournalCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t unknown_effects = 0;
  std::uint64_t fencing_writes = 0;
  std::uint64_t intents = 0;
  std::uint64_t tombstones = 0;
  std::uint64_t completions = 0;
  /// Bytes of values sent in writes.
  std::uint64_t written_bytes = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_TYPES_H_
