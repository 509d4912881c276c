#include "kingcupdrift/idempotency/journal.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "kingcupdrift/idempotency/internal/journal_shard.h"

namespace kingcupdrift {

Journal::Journal(Clock& clock,
                 Random& random,
                 PlatformStore& store,
                 JournalOptions options)
    : clock_(clock),
      random_(random),
      store_(store),
      options_(options),
      lifetime_token_(std::make_shared<bool>(true)) {}

Journal::~Journal() = default;

std::int64_t Journal::BucketOf(WallTime time) const {
  return time.time_since_epoch() / options_.bucket;
}

std::string Journal::ShardKey(std::int64_t bucket, std::uint32_t shard) const {
  return fmt::format("/kingcupdrift/journal/{:012}/{:04}", bucket, shard);
}

std::string Journal::OpaqueShardKey(std::uint32_t shard) {
  return fmt::format("/kingcupdrift/journal/opaque/{:04}", shard);
}

WallTime Journal::RetentionEnd(const IdempotencyKey& key) const {
  return key.created_at.value_or(clock_.WallNow()) + options_.retention;
}

JournalShard& Journal::ShardFor(const IdempotencyKey& key) {
  const std::uint64_t hash = FastHash(key.digest);
  std::string shard_key;
  std::optional<Duration> forget_after;
  if (key.created_at) {
    const auto shard =
        static_cast<std::uint32_t>(hash % options_.shards_per_bucket);
    shard_key = ShardKey(BucketOf(*key.created_at), shard);
  } else {
    shard_key = OpaqueShardKey(
        static_cast<std::uint32_t>(hash % options_.opaque_shards));
    forget_after = options_.retention + options_.clock_skew_margin;
  }
  std::unique_ptr<JournalShard>& slot = shards_[shard_key];
  if (!slot) {
    const ShardContext context{clock_, random_, store_, options_, counters_};
    slot = std::make_unique<JournalShard>(context, shard_key, forget_after);
  }
  return *slot;
}

std::optional<BeginStatus> Journal::FindRefusal(
    const BeginRequest& request) const {
  const WallTime now = clock_.WallNow();
  const WallTime created_at = request.key.created_at.value_or(now);
  if (created_at > now + options_.max_key_time_ahead) {
    return BeginStatus::kKeyFromFuture;
  }
  if (now - created_at > std::min(request.window, options_.retention)) {
    return BeginStatus::kExpired;
  }
  if (pending() >= options_.max_pending) {
    return BeginStatus::kOverflow;
  }
  return std::nullopt;
}

void Journal::PostRefusal(AttemptId attempt,
                          BeginStatus status,
                          BeginCallback callback) {
  auto answer = [this, attempt, status, callback = std::move(callback)] {
    const BeginCallback kept_callback = callback;
    const std::unique_ptr<Timer> timer = std::move(pending_refusals_[attempt]);
    pending_refusals_.erase(attempt);
    kept_callback(BeginResult{status, std::nullopt});
  };
  std::unique_ptr<Timer>& slot = pending_refusals_[std::move(attempt)];
  slot = clock_.RunAfter(Duration::zero(), std::move(answer));
}

void Journal::Begin(BeginRequest request, BeginCallback callback) {
  if (const auto status = FindRefusal(request)) {
    PostRefusal(std::move(request.attempt), *status, std::move(callback));
    return;
  }
  ++counters_.intents;
  ShardOperation operation;
  operation.kind = ShardOperation::Kind::kBegin;
  operation.key = DigestOf(request.key.digest);
  operation.attempt = DigestOf(request.attempt.value());
  operation.fingerprint = request.fingerprint;
  operation.run_until = request.run_until;
  operation.keep_until = RetentionEnd(request.key);
  operation.due_at = clock_.Now() + options_.intent_batch_wait;
  operation.on_begin = std::move(callback);
  const MonotonicTime give_up_at =
      std::min(request.deadline, clock_.Now() + options_.begin_timeout);
  ShardFor(request.key).Add(std::move(operation), give_up_at);
  DropIdleShards();
}

void Journal::CancelBegin(const IdempotencyKey& key, const AttemptId& attempt) {
  pending_refusals_.erase(attempt);
  ShardFor(key).CancelBegin(DigestOf(key.digest), DigestOf(attempt.value()));
}

void Journal::Complete(const IdempotencyKey& key,
                       const AttemptId& attempt,
                       StoredResult result,
                       DoneCallback callback) {
  ++counters_.completions;
  const WallTime retention_end = RetentionEnd(key);
  const Duration left =
      std::max(retention_end - clock_.WallNow(), Duration::zero());
  Finish(key, attempt, EntryState::kCompleted, std::move(result),
         clock_.Now() + left, std::move(callback));
}

void Journal::Abandon(const IdempotencyKey& key,
                      const AttemptId& attempt,
                      MonotonicTime deadline,
                      DoneCallback callback) {
  ++counters_.tombstones;
  Finish(key, attempt, EntryState::kTombstone, StoredResult{}, deadline,
         std::move(callback));
}

void Journal::MarkUnknown(const IdempotencyKey& key,
                          const AttemptId& attempt,
                          DoneCallback callback) {
  const WallTime retention_end = RetentionEnd(key);
  const Duration left =
      std::max(retention_end - clock_.WallNow(), Duration::zero());
  Finish(key, attempt, EntryState::kUnknown, StoredResult{},
         clock_.Now() + left, std::move(callback));
}

void Journal::Finish(const IdempotencyKey& key,
                     const AttemptId& attempt,
                     EntryState target,
                     StoredResult result,
                     MonotonicTime give_up_at,
                     DoneCallback callback) {
  // A caller waits for the answer to `Abandon`. No caller waits for a result or
  // an unknown mark to become durable.
  const Duration wait = target == EntryState::kTombstone
                            ? options_.intent_batch_wait
                            : options_.result_batch_wait;
  ShardOperation operation;
  operation.kind = ShardOperation::Kind::kFinish;
  operation.key = DigestOf(key.digest);
  operation.attempt = DigestOf(attempt.value());
  operation.target = target;
  operation.result = std::move(result);
  operation.keep_until = RetentionEnd(key);
  operation.due_at = clock_.Now() + wait;
  operation.on_done = std::move(callback);
  ShardFor(key).Add(std::move(operation), give_up_at);
}

void Journal::DropIdleShards() {
  auto it = shards_.begin();
  while (shards_.size() > options_.max_cached_shards && it != shards_.end()) {
    it = it->second->is_idle() ? shards_.erase(it) : std::next(it);
  }
}

std::size_t Journal::pending() const {
  std::size_t total = 0;
  for (const auto& [key, shard] : shards_) {
    total += shard->pending();
  }
  return total;
}

void Journal::SweepExpired(
    const std::function<bool(const std::string& shard_key)>& is_responsible) {
  QueueExpiredShards(is_responsible);
  std::size_t calls = 0;
  for (const std::string& shard_key : expired_shards_) {
    if (calls++ == options_.max_shards_per_sweep) {
      break;
    }
    SweepShard(shard_key);
  }
}

void Journal::QueueExpiredShards(
    const std::function<bool(const std::string& shard_key)>& is_responsible) {
  const Duration kept = options_.retention + options_.clock_skew_margin;
  const std::int64_t end = BucketOf(clock_.WallNow() - kept);
  const std::int64_t lookback = options_.sweep_lookback / options_.bucket;
  next_swept_bucket_ = std::max(next_swept_bucket_, end - lookback);
  for (; next_swept_bucket_ < end; ++next_swept_bucket_) {
    for (std::uint32_t n = 0; n < options_.shards_per_bucket; ++n) {
      std::string shard_key = ShardKey(next_swept_bucket_, n);
      if (expired_shards_.size() < options_.max_queued_expired_shards &&
          is_responsible(shard_key)) {
        expired_shards_.insert(std::move(shard_key));
      }
    }
  }
}

void Journal::SweepShard(const std::string& shard_key) {
  const std::weak_ptr<bool> guard = lifetime_token_;
  const auto on_deleted = [this, guard,
                           shard_key](const Result<StoreVersion>& deleted) {
    if (!guard.expired() && deleted) {
      expired_shards_.erase(shard_key);
    }
  };
  store_.Get(shard_key, [this, guard, shard_key, on_deleted](
                            const Result<std::optional<StoreValue>>& value) {
    if (guard.expired() || !value) {
      return;
    }
    if (!*value) {
      expired_shards_.erase(shard_key);
      return;
    }
    store_.CompareAndDelete(shard_key, (*value)->version, on_deleted);
  });
}

}  // namespace kingcupdrift
