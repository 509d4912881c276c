// Plans one pass over a shard's operations: the changes to write, the
// operations that are finished and the answers to their callers.

#include <utility>

#include "kingcupdrift/idempotency/internal/journal_shard.h"
#include "kingcupdrift/idempotency/internal/shard_decisions.h"

namespace kingcupdrift {
namespace {

// True if another process may still change this key's record. Such an answer
// needs a read that started after the operation was queued.
bool CanStillChange(BeginStatus status) {
  return status == BeginStatus::kInProgress ||
         status == BeginStatus::kUnknownOutcome;
}

}  // namespace

JournalShard::Plan JournalShard::MakePlan() {
  if (forget_after_) {
    // The next write removes the forgotten records from the store as well.
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
    // Another operation changes this key in the planned write; decide once that
    // change is durable.
    plan.is_due = plan.is_due || operation.due_at <= context_.clock.Now();
    return;
  }
  const std::size_t changes = plan.changing.size();
  switch (operation.kind) {
    case ShardOperation::Kind::kBegin:
      PlanBegin(id, operation, plan);
      break;
    case ShardOperation::Kind::kRollback:
      PlanRollback(id, operation, plan);
      break;
    case ShardOperation::Kind::kFinish:
      PlanFinish(id, operation, plan);
      break;
  }
  if (plan.changing.size() > changes) {
    plan.is_due = plan.is_due || operation.due_at <= context_.clock.Now();
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
  BeginInput input;
  input.key = operation.key;
  input.attempt = operation.attempt;
  input.fingerprint = operation.fingerprint;
  input.run_until = operation.run_until;
  input.now = context_.clock.WallNow();
  input.was_sent = operation.was_sent;
  BeginDecision decision =
      DecideBegin(input, context_.options, state_, plan.bytes);
  if (decision.change) {
    Change(id, operation, *std::move(decision.change), state_, plan);
    return;
  }
  if (CanStillChange(decision.status) && operation.arrival > state_as_of_) {
    plan.needs_read = true;
    return;
  }
  BeginResult result{decision.status, decision.result};
  const bool is_late = input.now > operation.keep_until;
  if (decision.status == BeginStatus::kStarted && is_late) {
    // The process was suspended until the key's retention had ended; the
    // request must not run.
    result.status = BeginStatus::kExpired;
  }
  plan.finished_operations.push_back(id);
  plan.answers.push_back(
      [callback = std::move(operation.on_begin), result] { callback(result); });
}

void JournalShard::PlanRollback(std::uint64_t id,
                                ShardOperation& operation,
                                Plan& plan) {
  auto tombstone = DecideRollback(operation.key, operation.attempt, state_);
  if (tombstone) {
    Change(id, operation, *std::move(tombstone), state_, plan);
    return;
  }
  if (operation.may_be_written && unknown_write_version_) {
    plan.needs_fence = true;
    return;
  }
  plan.finished_operations.push_back(id);
}

void JournalShard::PlanFinish(std::uint64_t id,
                              ShardOperation& operation,
                              Plan& plan) {
  FinishDecision decision =
      DecideFinish(operation.key, operation.attempt, operation.target,
                   operation.result, context_.options, state_, plan.bytes);
  if (decision.change) {
    Change(id, operation, *std::move(decision.change), state_, plan);
    return;
  }
  const bool is_not_owned = decision.status == FinishStatus::kNotOwned;
  if (is_not_owned && operation.arrival > state_as_of_) {
    plan.needs_read = true;
    return;
  }
  plan.finished_operations.push_back(id);
  if (!operation.on_done) {
    return;
  }
  plan.answers.push_back(
      [callback = std::move(operation.on_done), is_not_owned] {
        callback(is_not_owned
                     ? MakeError(ErrorCode::kConflict,
                                 "the key's journal record is missing, final "
                                 "or of another attempt")
                     : Result<void>());
      });
}

}  // namespace kingcupdrift
