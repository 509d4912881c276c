#ifndef KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_H_
#define KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/journal_types.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

class JournalShard;
enum class EntryState;

/// Journal of non-idempotent requests, stored in the platform's store, so that
/// each request runs at most once.
///
/// Each key belongs to one shard: a time-stamped key by its creation time and
/// digest, an opaque key by its digest. A shard is one value of the store and
/// is changed only by compare-and-swap, which keeps serving processes
/// ("entries") from overwriting each other's changes: any of them may write any
/// shard at any time. An intent is durable before its request is dispatched.
/// After a write whose reply was lost, the journal reads the shard and looks
/// for its own attempt. If the attempt is absent, a further write fences the
/// lost one: it moves the shard's version, so that the lost write can no longer
/// take effect. The journal never runs or releases another attempt's intent.
///
/// Protocol for the user, per attempt: `Begin`; on kStarted dispatch at most
/// once, then one of `Complete`, `Abandon` and `MarkUnknown`. `MarkUnknown` may
/// be followed by `Complete` if a late result arrives. Callbacks never run
/// inside the call and never after the journal's destruction.
class Journal {
 public:
  using BeginCallback = std::function<void(BeginResult)>;
  /// Success: the change is durable. kDeadlineExceeded: it was not durable in
  /// time. An `Abandon` then goes on in the background; a `Complete` or
  /// `MarkUnknown` is given up, since its timeout is the end of the retention.
  /// kConflict: the key's record in the shard is missing, final or of another
  /// attempt; nothing is written.
  using DoneCallback = std::function<void(Result<void>)>;

  Journal(Clock& clock,
          Random& random,
          PlatformStore& store,
          JournalOptions options = {});
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  /// Writes an intent and calls back with kStarted, or with the reason why the
  /// request must not be run.
  void Begin(BeginRequest request, BeginCallback callback);

  /// Withdraws a Begin whose callback has not run, as when the caller
  /// disconnected. The callback does not run, except if its answer is already
  /// due in the pass over the shard from which another callback makes this
  /// call. An intent that may have been written becomes a tombstone in the
  /// background.
  void CancelBegin(const IdempotencyKey& key, const AttemptId& attempt);

  /// Stores the result. Retried until it is durable, a conflict is found or
  /// `JournalOptions::retention` has passed since the key's creation (for an
  /// opaque key, since this call); the callback reports which. The answer to
  /// the caller need not wait for it.
  void Complete(const IdempotencyKey& key,
                const AttemptId& attempt,
                StoredResult result,
                DoneCallback callback);

  /// Replaces this attempt's intent by a tombstone. Only for an attempt that
  /// was not dispatched and never will be. Success proves "not_run", and the
  /// key may start a new attempt. On failure, which is reported by `deadline`,
  /// the user answers its caller "unknown", and the journal goes on in the
  /// background.
  void Abandon(const IdempotencyKey& key,
               const AttemptId& attempt,
               MonotonicTime deadline,
               DoneCallback callback);

  /// Records that the attempt was dispatched and its effect is not known.
  /// Retried as in `Complete`.
  void MarkUnknown(const IdempotencyKey& key,
                   const AttemptId& attempt,
                   DoneCallback callback);

  /// Starts to delete up to `max_shards_per_sweep` shards of time-stamped keys
  /// that are past `retention` and `clock_skew_margin` and for which
  /// `is_responsible`, asked once per shard, returned true. Failed deletions
  /// are repeated by the next sweep. Shards of opaque keys are never deleted.
  /// Call it about once per `bucket`; deleting twice is harmless. Make few
  /// entries responsible for a shard: each deletion costs a read and a write.
  void SweepExpired(
      const std::function<bool(const std::string& shard_key)>& is_responsible);

  /// Operations not yet durable; a planned stop waits until this is zero.
  std::size_t pending() const;
  const JournalCounters& counters() const { return counters_; }

 private:
  std::int64_t BucketOf(WallTime time) const;
  static std::string OpaqueShardKey(std::uint32_t shard);
  /// Operations on the key are no longer written after this time.
  WallTime RetentionEnd(const IdempotencyKey& key) const;
  std::string ShardKey(std::int64_t bucket, std::uint32_t shard) const;
  JournalShard& ShardFor(const IdempotencyKey& key);
  std::optional<BeginStatus> FindRefusal(const BeginRequest& request) const;
  void PostRefusal(AttemptId attempt,
                   BeginStatus status,
                   BeginCallback callback);
  void Finish(const IdempotencyKey& key,
              const AttemptId& attempt,
              EntryState target,
              StoredResult result,
              MonotonicTime give_up_at,
              DoneCallback callback);
  void DropIdleShards();
  void QueueExpiredShards(
      const std::function<bool(const std::string& shard_key)>& is_responsible);
  void SweepShard(const std::string& shard_key);

  Clock& clock_;
  Random& random_;
  PlatformStore& store_;
  JournalOptions options_;
  JournalCounters counters_;
  std::map<std::string, std::unique_ptr<JournalShard>> shards_;
  // Refusals decided inside `Begin`, by attempt. The timer delivers each in the
  // next turn of the event loop, after `Begin` has returned.
  std::map<AttemptId, std::unique_ptr<Timer>> pending_refusals_;
  std::int64_t next_swept_bucket_ = 0;
  std::set<std::string> expired_shards_;
  // Checked by callbacks of the store, which may run after destruction.
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_H_
