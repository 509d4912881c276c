#include "kingcupdrift/idempotency/internal/shard_rules.h"

namespace kingcupdrift {
namespace {

BeginRuling WriteIntent(const BeginFacts& facts,
                        const JournalLimits& limits,
                        ShardState& state) {
  ShardEntry entry;
  entry.fingerprint = facts.fingerprint;
  entry.attempt = facts.attempt;
  entry.run_until = facts.run_until;
  const bool is_new = !state.entries.contains(facts.key);
  const std::size_t added = is_new ? EncodedSize(entry) : 0;
  if (state.bytes + added > limits.max_shard_bytes) {
    return BeginRuling{false, BeginStatus::kOverflow, std::nullopt};
  }
  state.bytes += added;
  state.entries[facts.key] = entry;
  return BeginRuling{true, BeginStatus::kStarted, std::nullopt};
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

BeginRuling ApplyBegin(const BeginFacts& facts,
                       const JournalLimits& limits,
                       ShardState& state) {
  const auto it = state.entries.find(facts.key);
  if (it == state.entries.end()) {
    return WriteIntent(facts, limits, state);
  }
  const ShardEntry& entry = it->second;
  if (entry.fingerprint != facts.fingerprint) {
    return BeginRuling{false, BeginStatus::kKeyReused, std::nullopt};
  }
  switch (entry.state) {
    case EntryState::kTombstone:
      return WriteIntent(facts, limits, state);
    case EntryState::kCompleted:
      return BeginRuling{false, BeginStatus::kAlreadyCompleted, entry.result};
    case EntryState::kUnknown:
      return BeginRuling{false, BeginStatus::kUnknownOutcome, std::nullopt};
    case EntryState::kIntent:
      break;
  }
  return BeginRuling{false, StatusOfIntent(facts, entry), std::nullopt};
}

FinishRuling ApplyFinish(const Digest128& key,
                         const Digest128& attempt,
                         EntryState target,
                         const StoredResult& result,
                         const JournalLimits& limits,
                         ShardState& state) {
  const auto it = state.entries.find(key);
  if (it == state.entries.end() || it->second.attempt != attempt) {
    return FinishRuling::kForeign;
  }
  ShardEntry& entry = it->second;
  if (entry.state == target) {
    return FinishRuling::kSettled;
  }
  if (!CanBecome(entry.state, target)) {
    return FinishRuling::kForeign;
  }
  const std::size_t room = limits.max_shard_bytes > state.bytes
                               ? limits.max_shard_bytes - state.bytes
                               : 0;
  state.bytes -= EncodedSize(entry);
  entry.state = target;
  entry.result = Trimmed(result, limits, room);
  state.bytes += EncodedSize(entry);
  return FinishRuling::kChange;
}

bool ApplyWithdraw(const Digest128& key,
                   const Digest128& attempt,
                   ShardState& state) {
  const auto it = state.entries.find(key);
  const bool is_own_intent = it != state.entries.end() &&
                             it->second.attempt == attempt &&
                             it->second.state == EntryState::kIntent;
  if (is_own_intent) {
    it->second.state = EntryState::kTombstone;
  }
  return is_own_intent;
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
