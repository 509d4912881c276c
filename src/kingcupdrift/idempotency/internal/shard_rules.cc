#include "kingcupdrift/idempotency/internal/shard_rules.h"

namespace kingcupdrift {
namespace {

BeginRuling WriteIntent(const BeginFacts& facts,
                        const JournalLimits& limits,
                        const ShardState& state,
                        std::size_t bytes) {
  ShardEntry entry;
  entry.fingerprint = facts.fingerprint;
  entry.attempt = facts.attempt;
  entry.run_until = facts.run_until;
  if (BytesWith(state, bytes, facts.key, entry) > limits.max_shard_bytes) {
    return BeginRuling{std::nullopt, BeginStatus::kOverflow, std::nullopt};
  }
  return BeginRuling{entry, BeginStatus::kStarted, std::nullopt};
}

BeginStatus StatusOfIntent(const BeginFacts& facts, const ShardEntry& entry) {
  if (entry.attempt == facts.attempt && facts.was_sent) {
    return BeginStatus::kStarted;
  }
  return facts.now > entry.run_until ? BeginStatus::kUnknownOutcome
                                     : BeginStatus::kInProgress;
}

bool CanBecome(EntryState from, EntryState target) {
  const bool is_late_result =
      from == EntryState::kUnknown && target == EntryState::kCompleted;
  return from == EntryState::kIntent || is_late_result;
}

StoredResult Trimmed(const StoredResult& result,
                     const JournalLimits& limits,
                     std::size_t room) {
  StoredResult kept = result;
  ShardEntry probe;
  probe.result = result;
  const std::size_t added = EncodedSize(probe) - EncodedSize(ShardEntry{});
  const bool is_small =
      result.body && result.body->size() <= limits.max_kept_result;
  if (!is_small || added > room) {
    kept.body.reset();
    kept.content_type.clear();
  }
  return kept;
}

}  // namespace

BeginRuling RuleBegin(const BeginFacts& facts,
                      const JournalLimits& limits,
                      const ShardState& state,
                      std::size_t bytes) {
  const auto it = state.entries.find(facts.key);
  if (it == state.entries.end()) {
    return WriteIntent(facts, limits, state, bytes);
  }
  const ShardEntry& entry = it->second;
  BeginRuling ruling;
  if (entry.fingerprint != facts.fingerprint) {
    ruling.status = BeginStatus::kKeyReused;
    return ruling;
  }
  switch (entry.state) {
    case EntryState::kTombstone:
      return WriteIntent(facts, limits, state, bytes);
    case EntryState::kCompleted:
      ruling.status = BeginStatus::kAlreadyCompleted;
      ruling.result = entry.result;
      break;
    case EntryState::kUnknown:
      ruling.status = BeginStatus::kUnknownOutcome;
      break;
    case EntryState::kIntent:
      ruling.status = StatusOfIntent(facts, entry);
      break;
  }
  return ruling;
}

FinishRuling RuleFinish(const Digest128& key,
                        const Digest128& attempt,
                        EntryState target,
                        const StoredResult& result,
                        const JournalLimits& limits,
                        const ShardState& state,
                        std::size_t bytes) {
  FinishRuling ruling;
  const auto it = state.entries.find(key);
  if (it == state.entries.end() || it->second.attempt != attempt) {
    return ruling;
  }
  if (it->second.state == target) {
    ruling.status = FinishStatus::kSettled;
    return ruling;
  }
  if (!CanBecome(it->second.state, target)) {
    return ruling;
  }
  const std::size_t room =
      limits.max_shard_bytes > bytes ? limits.max_shard_bytes - bytes : 0;
  ruling.status = FinishStatus::kChange;
  ruling.change = it->second;
  ruling.change->state = target;
  ruling.change->result = Trimmed(result, limits, room);
  return ruling;
}

std::optional<ShardEntry> RuleWithdraw(const Digest128& key,
                                       const Digest128& attempt,
                                       const ShardState& state) {
  const auto it = state.entries.find(key);
  const bool is_own_intent = it != state.entries.end() &&
                             it->second.attempt == attempt &&
                             it->second.state == EntryState::kIntent;
  if (!is_own_intent) {
    return std::nullopt;
  }
  ShardEntry entry = it->second;
  entry.state = EntryState::kTombstone;
  return entry;
}

void ForgetBefore(WallTime time, ShardState& state) {
  auto it = state.entries.begin();
  while (it != state.entries.end()) {
    if (it->second.run_until < time) {
      state.bytes -= EncodedSize(it->second);
      it = state.entries.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace kingcupdrift
