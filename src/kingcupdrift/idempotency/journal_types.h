#ifndef KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_TYPES_H_
#define KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/idempotency_key.h"

namespace kingcupdrift {

/// Asks the journal for permission to run a non-idempotent request once.
struct BeginRequest {
  IdempotencyKey key;
  /// FastHash of the request's method, target and body.
  std::uint64_t fingerprint = 0;
  /// Unique to this call (`Random::Token`).
  AttemptId attempt;
  /// How long after its creation a time-stamped key may be used; clamped to
  /// `JournalOptions::retention`. Ignored for opaque keys.
  Duration window = std::chrono::hours(24);
  /// End of the request's time limit, by the wall clock. After it, other
  /// calls get kUnknownOutcome instead of kInProgress for this call's intent.
  WallTime run_until{};
  /// The callback runs by this time or `JournalOptions::begin_timeout` after
  /// the call, whichever is sooner.
  MonotonicTime deadline{};
};

enum class BeginStatus {
  /// The intent is durable under this attempt: the caller may dispatch the
  /// request once.
  kStarted,
  /// An earlier attempt finished; its result is attached. This call is not run.
  kAlreadyCompleted,
  /// Another attempt's intent is stored and its time limit has not passed: that
  /// attempt may be running. Its outcome is not known yet; ask again later.
  kInProgress,
  /// The effect of an earlier attempt is not known at present. This call is not
  /// run. If the effect was recorded as unknown, only a late result can replace
  /// it. If an intent is past its time limit, it may still become completed, or
  /// a tombstone: the record that the attempt never ran, which frees the key.
  kUnknownOutcome,
  /// The key was used for a request with another fingerprint. This request was
  /// not run.
  kKeyReused,
  /// The key is past its window, or this call's intent became durable only
  /// after the key's retention had ended, as when the process was suspended;
  /// that intent stays in the store. This call ran nothing; an earlier call
  /// with the key may have run, so the outcome is unknown.
  kExpired,
  /// The key's creation time is more than `JournalOptions::max_key_time_ahead`
  /// in the future. Not run.
  kKeyFromFuture,
  /// The key's shard or the journal's queue is full. Not run.
  kOverflow,
  /// No intent was written in time and none can appear later. Causes: the store
  /// is down, contention, a damaged shard or a short deadline. Not run.
  kStoreUnavailable,
  /// The intent may be in the store, as no reply to its write came in time.
  /// This attempt must not run. In the background, the journal goes on until
  /// the intent is absent or a tombstone. The caller gets the outcome
  /// "unknown".
  kUnresolved,
};

/// "started", "already_completed" and so on, for logs and metrics.
std::string_view BeginStatusName(BeginStatus status);

/// The outcome to report to the caller for a `status` other than kStarted:
/// kCompleted for kAlreadyCompleted, otherwise kNotRun or kUnknown. Passing
/// kStarted is a bug of the calling code and returns kUnknown.
Outcome BeginOutcome(BeginStatus status);

/// Result of a finished request, stored to answer repeated calls.
struct StoredResult {
  /// HTTP status.
  int status = 0;
  /// Absent when the body was larger than `JournalOptions::max_result_bytes` or
  /// did not fit into the shard: only the status is stored then.
  std::optional<std::string> body;
  std::string content_type;
};

struct BeginResult {
  BeginStatus status = BeginStatus::kStoreUnavailable;
  /// Present with kAlreadyCompleted.
  std::optional<StoredResult> result;
};

/// Limits and time spans of the journal. All entries (serving processes) of a
/// site must use the same `bucket`, `shards_per_bucket` and `opaque_shards`,
/// which choose a key's shard, and the same `retention` and
/// `clock_skew_margin`, which decide when keys and shards expire.
struct JournalOptions {
  /// Keys created within one bucket share its shards.
  Duration bucket = std::chrono::minutes(1);
  std::uint32_t shards_per_bucket = 8;
  /// Shards of opaque keys, which have no bucket.
  std::uint32_t opaque_shards = 64;
  /// Limit of the time after its creation in which a time-stamped key may be
  /// used. An opaque key is remembered this long, plus `clock_skew_margin`,
  /// after `run_until` of the attempt that wrote its intent.
  Duration retention = std::chrono::hours(24);
  /// Shards are deleted, and opaque keys forgotten, this long after
  /// `retention`; the wall clocks of the entries must differ by less.
  Duration clock_skew_margin = std::chrono::hours(1);
  /// Keys created further than this ahead of the wall clock are refused.
  Duration max_key_time_ahead = std::chrono::minutes(5);
  /// Timeout for an intent to become durable.
  Duration begin_timeout = std::chrono::seconds(2);
  /// Intents and abandons wait this long so that others share their write.
  Duration intent_batch_wait = std::chrono::milliseconds(5);
  /// Results and unknown marks wait this long, or join an earlier write.
  Duration result_batch_wait = std::chrono::milliseconds(250);
  /// Time without reads and writes of a shard after its first failed one. It
  /// doubles with each further failure up to `max_backoff` and is multiplied by
  /// a jitter of 0.5 to 1.5.
  Duration min_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(1);
  /// Limit of one shard's encoded value; below the store's limit of 1 MB.
  std::size_t max_shard_bytes = 900'000;
  /// Larger result bodies are not stored.
  std::size_t max_result_bytes = 2'048;
  /// While this many operations wait in this entry, over all shards, a `Begin`
  /// gets kOverflow.
  std::size_t max_pending = 10'000;
  /// While more shards than this are in memory, each queued `Begin` drops idle
  /// ones.
  std::size_t max_cached_shards = 32;
  /// Buckets that expired longer ago than this are not swept.
  Duration sweep_lookback = std::chrono::hours(1);
  /// Expired shards that wait to be deleted; shards found while the queue is
  /// full are skipped and not looked at again.
  std::size_t max_queued_expired_shards = 10'000;
  /// Shards that one sweep starts to delete, with up to two store calls each.
  std::size_t max_shards_per_sweep = 64;
};

/// Running totals since start.
struct JournalCounters {
  /// Reads of shards, without those of sweeps.
  std::uint64_t reads = 0;
  /// Compare-and-swaps sent, without the deletions of sweeps.
  std::uint64_t writes = 0;
  /// Writes that failed because the shard's version had changed.
  std::uint64_t conflicts = 0;
  /// Writes whose reply was lost, so that their effect is not known.
  std::uint64_t unknown_effects = 0;
  /// Writes that change no record and only move the shard's version.
  std::uint64_t fencing_writes = 0;
  /// `Begin` calls queued, also those that ended without an intent.
  std::uint64_t intents = 0;
  /// `Abandon` calls, also failed ones; tombstones of rolled-back Begins are
  /// not counted.
  std::uint64_t tombstones = 0;
  /// `Complete` calls.
  std::uint64_t completions = 0;
  /// Bytes of values sent in writes.
  std::uint64_t written_bytes = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_TYPES_H_
