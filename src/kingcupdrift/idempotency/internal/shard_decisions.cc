#include "kingcupdrift/idempotency/internal/shard_decisions.h"

namespace kingcupdrift {
namespace {

BeginDecision WriteIntent(const BeginInput& input,
                          const JournalOptions& options,
                          const ShardState& state,
                          std::size_t bytes) {
  ShardEntry entry;
  entry.fingerprint = input.fingerprint;
  entry.attempt = input.attempt;
  entry.run_until = input.run_until;
  if (BytesWith(state, bytes, input.key, entry) > options.max_shard_bytes) {
    return BeginDecision{std::nullopt, BeginStatus::kOverflow, std::nullopt};
  }
  return BeginDecision{entry, BeginStatus::kStarted, std::nullopt};
}

BeginStatus StatusOfIntent(const BeginInput& input, const ShardEntry& entry) {
  if (entry.attempt == input.attempt && input.was_sent) {
    return BeginStatus::kStarted;
  }
  return input.now > entry.run_until ? BeginStatus::kUnknownOutcome
                                     : BeginStatus::kInProgress;
}

bool CanBecome(EntryState from, EntryState target) {
  const bool is_late_result =
      from == EntryState::kUnknown && target == EntryState::kCompleted;
  return from == EntryState::kIntent || is_late_result;
}

StoredResult Trimmed(const StoredResult& result,
                     const JournalOptions& options,
                     std::size_t available_bytes) {
  StoredResult kept = result;
  ShardEntry probe;
  probe.result = result;
  const std::size_t added = EncodedSize(probe) - EncodedSize(ShardEntry{});
  const bool is_small =
      result.body && result.body->size() <= options.max_result_bytes;
  if (!is_small || added > available_bytes) {
    kept.body.reset();
    kept.content_type.clear();
  }
  return kept;
}

}  // namespace

BeginDecision DecideBegin(const BeginInput& input,
                          const JournalOptions& options,
                          const ShardState& state,
                          std::size_t bytes) {
  const auto it = state.entries.find(input.key);
  if (it == state.entries.end()) {
    return WriteIntent(input, options, state, bytes);
  }
  const ShardEntry& entry = it->second;
  BeginDecision decision;
  if (entry.fingerprint != input.fingerprint) {
    decision.status = BeginStatus::kKeyReused;
    return decision;
  }
  switch (entry.state) {
    case EntryState::kTombstone:
      return WriteIntent(input, options, state, bytes);
    case EntryState::kCompleted:
      decision.status = BeginStatus::kAlreadyCompleted;
      decision.result = entry.result;
      break;
    case EntryState::kUnknown:
      decision.status = BeginStatus::kUnknownOutcome;
      break;
    case EntryState::kIntent:
      decision.status = StatusOfIntent(input, entry);
      break;
  }
  return decision;
}

FinishDecision DecideFinish(const Digest128& key,
                            const Digest128& attempt,
                            EntryState target,
                            const StoredResult& result,
                            const JournalOptions& options,
                            const ShardState& state,
                            std::size_t bytes) {
  FinishDecision decision;
  const auto it = state.entries.find(key);
  if (it == state.entries.end() || it->second.attempt != attempt) {
    return decision;
  }
  if (it->second.state == target) {
    decision.status = FinishStatus::kAlreadyApplied;
    return decision;
  }
  if (!CanBecome(it->second.state, target)) {
    return decision;
  }
  const std::size_t available_bytes =
      options.max_shard_bytes > bytes ? options.max_shard_bytes - bytes : 0;
  decision.status = FinishStatus::kWriteNeeded;
  decision.change = it->second;
  decision.change->state = target;
  decision.change->result = Trimmed(result, options, available_bytes);
  return decision;
}

std::optional<ShardEntry> DecideRollback(const Digest128& key,
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
