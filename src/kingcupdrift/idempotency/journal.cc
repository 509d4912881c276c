#include "kingcupdrift/idempotency/journal.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "kingcupdrift/idempotency/internal/journal_shard.h"

namespace kingcupdrift {

Journal::Journal(Clock& clock,
                 Random& random,
                 PlatformStore& store,
                 JournalLimits limits)
    : clock_(clock),
      random_(random),
      store_(store),
      limits_(limits),
      is_alive_(std::make_shared<bool>(true)) {}

Journal::~Journal() = default;

std::int64_t Journal::BucketOf(WallTime time) const {
  return time.time_since_epoch() / limits_.bucket;
}

std::string Journal::ShardKey(std::int64_t bucket, std::uint32_t shard) const {
  return fmt::format("/kingcupdrift/journal/{:012}/{:04}", bucket, shard);
}

std::string Journal::OpaqueShardKey(std::uint32_t shard) {
  return fmt::format("/kingcupdrift/journal/opaque/{:04}", shard);
}

WallTime Journal::WindowEnd(const IdempotencyKey& key) const {
  return key.created_at.value_or(clock_.WallNow()) + limits_.retention;
}

JournalShard& Journal::ShardFor(const IdempotencyKey& key) {
  const std::uint64_t hash = FastHash(key.digest);
  std::string shard_key;
  std::optional<Duration> forget_after;
  if (key.created_at) {
    const auto shard =
        static_cast<std::uint32_t>(hash % limits_.shards_per_bucket);
    shard_key = ShardKey(BucketOf(*key.created_at), shard);
  } else {
    shard_key = OpaqueShardKey(
        static_cast<std::uint32_t>(hash % limits_.opaque_shards));
    forget_after = limits_.retention + limits_.clock_margin;
  }
  std::unique_ptr<JournalShard>& slot = shards_[shard_key];
  if (!slot) {
    const ShardContext context{clock_, random_, store_, limits_, counters_};
    slot = std::make_unique<JournalShard>(context, shard_key, forget_after);
  }
  return *slot;
}

std::optional<BeginStatus> Journal::RefuseEarly(
    const BeginRequest& request) const {
  const WallTime now = clock_.WallNow();
  const WallTime created_at = request.key.created_at.value_or(now);
  if (created_at > now + limits_.max_key_ahead) {
    return BeginStatus::kKeyFromFuture;
  }
  if (now - created_at > std::min(request.window, limits_.retention)) {
    return BeginStatus::kExpired;
  }
  if (pending() >= limits_.max_pending) {
    return BeginStatus::kOverflow;
  }
  return std::nullopt;
}

void Journal::RefuseLater(AttemptId attempt,
                          BeginStatus status,
                          BeginCallback callback) {
  auto answer = [this, attempt, status, callback = std::move(callback)] {
    const BeginCallback kept_callback = callback;
    const std::unique_ptr<Timer> timer = std::move(refused_[attempt]);
    refused_.erase(attempt);
    kept_callback(BeginResult{status, std::nullopt});
  };
  std::unique_ptr<Timer>& slot = refused_[std::move(attempt)];
  slot = clock_.RunAfter(Duration::zero(), std::move(answer));
}

void Journal::Begin(BeginRequest request, BeginCallback callback) {
  if (const auto status = RefuseEarly(request)) {
    RefuseLater(std::move(request.attempt), *status, std::move(callback));
    return;
  }
  ++counters_.intents;
  ShardOperation operation;
  operation.kind = ShardOperation::Kind::kBegin;
  operation.key = DigestOf(request.key.digest);
  operation.attempt = DigestOf(request.attempt.value());
  operation.fingerprint = request.fingerprint;
  operation.run_until = request.run_until;
  operation.keep_until = WindowEnd(request.key);
  operation.due = clock_.Now() + limits_.intent_batch_wait;
  operation.on_begin = std::move(callback);
  const MonotonicTime give_up =
      std::min(request.deadline, clock_.Now() + limits_.begin_timeout);
  ShardFor(request.key).Add(std::move(operation), give_up);
  DropIdleShards();
}

void Journal::CancelBegin(const IdempotencyKey& key, const AttemptId& attempt) {
  refused_.erase(attempt);
  ShardFor(key).CancelBegin(DigestOf(key.digest), DigestOf(attempt.value()));
}

void Journal::Complete(const IdempotencyKey& key,
                       const AttemptId& attempt,
                       StoredResult result,
                       DoneCallback callback) {
  ++counters_.completions;
  const WallTime window_end = WindowEnd(key);
  const Duration left =
      std::max(window_end - clock_.WallNow(), Duration::zero());
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
  const WallTime window_end = WindowEnd(key);
  const Duration left =
      std::max(window_end - clock_.WallNow(), Duration::zero());
  Finish(key, attempt, EntryState::kUnknown, StoredResult{},
         clock_.Now() + left, std::move(callback));
}

void Journal::Finish(const IdempotencyKey& key,
                     const AttemptId& attempt,
                     EntryState target,
                     StoredResult result,
                     MonotonicTime give_up,
                     DoneCallback callback) {
  // A caller waits for a tombstone; nobody waits for the other two.
  const Duration wait = target == EntryState::kTombstone
                            ? limits_.intent_batch_wait
                            : limits_.result_batch_wait;
  ShardOperation operation;
  operation.kind = ShardOperation::Kind::kFinish;
  operation.key = DigestOf(key.digest);
  operation.attempt = DigestOf(attempt.value());
  operation.target = target;
  operation.result = std::move(result);
  operation.keep_until = WindowEnd(key);
  operation.due = clock_.Now() + wait;
  operation.on_done = std::move(callback);
  ShardFor(key).Add(std::move(operation), give_up);
}

void Journal::DropIdleShards() {
  auto it = shards_.begin();
  while (shards_.size() > limits_.max_cached_shards && it != shards_.end()) {
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
  FindExpired(is_responsible);
  std::size_t calls = 0;
  for (const std::string& shard_key : unswept_) {
    if (calls++ == limits_.max_sweep_calls) {
      break;
    }
    SweepShard(shard_key);
  }
}

void Journal::FindExpired(
    const std::function<bool(const std::string& shard_key)>& is_responsible) {
  const Duration kept = limits_.retention + limits_.clock_margin;
  const std::int64_t end = BucketOf(clock_.WallNow() - kept);
  const std::int64_t lookback = limits_.sweep_lookback / limits_.bucket;
  next_swept_bucket_ = std::max(next_swept_bucket_, end - lookback);
  for (; next_swept_bucket_ < end; ++next_swept_bucket_) {
    for (std::uint32_t n = 0; n < limits_.shards_per_bucket; ++n) {
      std::string shard_key = ShardKey(next_swept_bucket_, n);
      if (unswept_.size() < limits_.max_unswept && is_responsible(shard_key)) {
        unswept_.insert(std::move(shard_key));
      }
    }
  }
}

void Journal::SweepShard(const std::string& shard_key) {
  const std::weak_ptr<bool> guard = is_alive_;
  const auto on_deleted = [this, guard,
                           shard_key](const Result<StoreVersion>& deleted) {
    if (!guard.expired() && deleted) {
      unswept_.erase(shard_key);
    }
  };
  store_.Get(shard_key, [this, guard, shard_key, on_deleted](
                            const Result<std::optional<StoreValue>>& value) {
    if (guard.expired() || !value) {
      return;
    }
    if (!*value) {
      unswept_.erase(shard_key);
      return;
    }
    store_.CompareAndDelete(shard_key, (*value)->version, on_deleted);
  });
}

}  // namespace kingcupdrift
