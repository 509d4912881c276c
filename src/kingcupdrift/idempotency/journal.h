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

/// Journal of non-idempotent requests, kept in the platform's store.
///
/// A key lives in one shard, chosen by its creation time and digest. A shard is
/// one value of the store, changed only by compare-and-swap, which is the fence
/// between entries: any entry may write any shard at any time. An intent is
/// durable before its request is dispatched. A write whose reply was lost is
/// resolved by reading for the own attempt and, where that is absent, by a
/// further write that moves the version, so that the lost one can no longer
/// take effect. Nothing here runs or releases another attempt's intent.
///
/// Protocol for the user, per attempt: `Begin`; on kStarted dispatch at most
/// once, then exactly one of `Complete`, `Abandon` and `MarkUnknown`. Callbacks
/// never run inside the call and never after the journal's destruction.
class Journal {
 public:
  using BeginCallback = std::function<void(BeginResult)>;
  using DoneCallback = std::function<void(Result<void>)>;

  Journal(Clock& clock,
          Random& random,
          PlatformStore& store,
          JournalOptions options = {});
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  /// Writes the intent, or tells why not.
  void Begin(BeginRequest request, BeginCallback callback);

  /// Drops a Begin whose callback has not come, as when the caller went away.
  /// The callback does not run. An intent that may have been written becomes a
  /// tombstone in the background.
  void CancelBegin(const IdempotencyKey& key, const AttemptId& attempt);

  /// Keeps the result. Retried until durable or until the key's window ends;
  /// the callback reports which. The answer to the caller need not wait for it.
  void Complete(const IdempotencyKey& key,
                const AttemptId& attempt,
                StoredResult result,
                DoneCallback callback);

  /// Replaces the own intent by a tombstone. Only for an attempt that was not
  /// dispatched and never will be. Success proves "not_run", and the key may
  /// start a new attempt. On failure (by `deadline`) the caller is told
  /// "unknown", and the journal goes on in the background.
  void Abandon(const IdempotencyKey& key,
               const AttemptId& attempt,
               MonotonicTime deadline,
               DoneCallback callback);

  /// Records that the attempt was dispatched and its effect is not known.
  void MarkUnknown(const IdempotencyKey& key,
                   const AttemptId& attempt,
                   DoneCallback callback);

  /// Deletes shards past `retention` and `clock_skew_margin` whose keys
  /// `is_responsible` accepts. Call about once a bucket; deleting twice is
  /// harmless. Give it to few entries: each shard swept costs a read and a
  /// write.
  void SweepExpired(
      const std::function<bool(const std::string& shard_key)>& is_responsible);

  /// Operations not yet durable; a planned stop waits until this is zero.
  std::size_t pending() const;
  const JournalCounters& counters() const { return counters_; }

 private:
  std::int64_t BucketOf(WallTime time) const;
  static std::string OpaqueShardKey(std::uint32_t shard);
  /// Until when operations on the key are worth writing.
  WallTime WindowEnd(const IdempotencyKey& key) const;
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
  // Answers known at once, which wait for the next turn of the loop.
  std::map<AttemptId, std::unique_ptr<Timer>> pending_refusals_;
  std::int64_t next_swept_bucket_ = 0;
  std::set<std::string> expired_shards_;
  // Checked by callbacks of the store, which may come after destruction.
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_JOURNAL_H_
