// What one pass over a shard's operations changes, settles and answers.

#include <utility>

#include "kingcupdrift/idempotency/internal/journal_shard.h"
#include "kingcupdrift/idempotency/internal/shard_rules.h"

namespace kingcupdrift {
namespace {

// States that another entry may still change need a read that is newer than
// the question.
bool MayChange(BeginStatus status) {
  return status == BeginStatus::kInProgress ||
         status == BeginStatus::kUnknownOutcome;
}

}  // namespace

JournalShard::Plan JournalShard::MakePlan() {
  if (forget_after_) {
    // The next write drops them from the store as well.
    ForgetBefore(context_.clock.WallNow() - *forget_after_, state_);
  }
  Plan plan;
  plan.bytes = state_.bytes;
  for (auto& [id, operation] : operations_) {
    PlanOperation(id, operation, plan);
  }
  return plan;
}

void JournalShard::PlanOperation(std::uint64_t id,
                                 ShardOperation& operation,
                                 Plan& plan) {
  if (plan.changes.contains(operation.key)) {
    // The answer would rest on a change that is not durable yet.
    plan.is_due = plan.is_due || operation.due <= context_.clock.Now();
    return;
  }
  const std::size_t changes = plan.changing.size();
  switch (operation.kind) {
    case ShardOperation::Kind::kBegin:
      PlanBegin(id, operation, plan);
      break;
    case ShardOperation::Kind::kWithdraw:
      PlanWithdraw(id, operation, plan);
      break;
    case ShardOperation::Kind::kFinish:
      PlanFinish(id, operation, plan);
      break;
  }
  if (plan.changing.size() > changes) {
    plan.is_due = plan.is_due || operation.due <= context_.clock.Now();
  }
}

void JournalShard::Change(std::uint64_t id,
                          const ShardOperation& operation,
                          ShardEntry entry,
                          const ShardState& state,
                          Plan& plan) {
  plan.changing.push_back(id);
  plan.bytes = BytesWith(state, plan.bytes, operation.key, entry);
  plan.changes.emplace(operation.key, std::move(entry));
}

void JournalShard::PlanBegin(std::uint64_t id,
                             ShardOperation& operation,
                             Plan& plan) {
  BeginFacts facts;
  facts.key = operation.key;
  facts.attempt = operation.attempt;
  facts.fingerprint = operation.fingerprint;
  facts.run_until = operation.run_until;
  facts.now = context_.clock.WallNow();
  facts.was_sent = operation.was_sent;
  BeginRuling ruling = RuleBegin(facts, context_.limits, state_, plan.bytes);
  if (ruling.change) {
    Change(id, operation, *std::move(ruling.change), state_, plan);
    return;
  }
  if (MayChange(ruling.status) && operation.arrival > state_as_of_) {
    plan.needs_read = true;
    return;
  }
  BeginResult result{ruling.status, ruling.result};
  const bool is_late = facts.now > operation.keep_until;
  if (ruling.status == BeginStatus::kStarted && is_late) {
    // The process was paused past the key's window; the intent must not run.
    result.status = BeginStatus::kExpired;
  }
  plan.settled.push_back(id);
  plan.answers.push_back(
      [callback = std::move(operation.on_begin), result] { callback(result); });
}

void JournalShard::PlanWithdraw(std::uint64_t id,
                                ShardOperation& operation,
                                Plan& plan) {
  auto tombstone = RuleWithdraw(operation.key, operation.attempt, state_);
  if (tombstone) {
    Change(id, operation, *std::move(tombstone), state_, plan);
    return;
  }
  if (operation.may_be_written && doubtful_version_) {
    plan.needs_fence = true;
    return;
  }
  plan.settled.push_back(id);
}

void JournalShard::PlanFinish(std::uint64_t id,
                              ShardOperation& operation,
                              Plan& plan) {
  FinishRuling ruling =
      RuleFinish(operation.key, operation.attempt, operation.target,
                 operation.result, context_.limits, state_, plan.bytes);
  if (ruling.change) {
    Change(id, operation, *std::move(ruling.change), state_, plan);
    return;
  }
  const bool is_foreign = ruling.status == FinishStatus::kForeign;
  if (is_foreign && operation.arrival > state_as_of_) {
    plan.needs_read = true;
    return;
  }
  plan.settled.push_back(id);
  if (!operation.on_done) {
    return;
  }
  plan.answers.push_back([callback = std::move(operation.on_done), is_foreign] {
    callback(is_foreign ? MakeError(ErrorCode::kConflict,
                                    "the entry is not this attempt's")
                        : Result<void>());
  });
}

}  // namespace kingcupdrift
