#include "kingcupdrift/entry/internal/problems.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace kingcupdrift {
namespace {

ProblemType GetRouteProblemType(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotFound:
      return ProblemType::kUnknownModel;
    case ErrorCode::kRefused:
      return ProblemType::kInvalidRequest;
    case ErrorCode::kDeadlineExceeded:
      return ProblemType::kDeadlineInfeasible;
    case ErrorCode::kOverloaded:
      return ProblemType::kQueueFull;
    default:
      return ProblemType::kNoEngine;
  }
}

ProblemType GetBeginProblemType(BeginStatus status) {
  switch (status) {
    case BeginStatus::kInProgress:
    case BeginStatus::kUnknownOutcome:
      return ProblemType::kIdempotencyKeyInUse;
    case BeginStatus::kKeyReused:
    case BeginStatus::kKeyFromFuture:
      return ProblemType::kInvalidRequest;
    case BeginStatus::kExpired:
      return ProblemType::kIdempotencyKeyExpired;
    case BeginStatus::kOverflow:
      return ProblemType::kQueueFull;
    case BeginStatus::kStoreUnavailable:
    case BeginStatus::kUnresolved:
      return ProblemType::kStoreUnavailable;
    case BeginStatus::kStarted:
    case BeginStatus::kAlreadyCompleted:
      return ProblemType::kInternal;
  }
  return ProblemType::kInternal;
}

std::string_view GetRefusalDetail(ProblemType type) {
  switch (type) {
    case ProblemType::kWorkspaceLimit:
      return "the workspace's limit is used up";
    case ProblemType::kDeadlineInfeasible:
      return "the answer cannot be complete within the time limit";
    case ProblemType::kDeadlineExceeded:
      return "the time limit has passed";
    case ProblemType::kUnauthorized:
      return "the workspace may not use this service";
    case ProblemType::kNotFound:
      return "no such service";
    default:
      // kQueueFull, the only other type of a refusal.
      return "the service's queue is full";
  }
}

}  // namespace

Problem MakeNotRunProblem(ProblemType type,
                          std::string detail,
                          Duration retry_after) {
  Problem problem;
  problem.type = type;
  problem.outcome = Outcome::kNotRun;
  problem.detail = std::move(detail);
  problem.retry_after = retry_after;
  return problem;
}

Problem ProblemFromRefusal(const Refusal& refusal) {
  return MakeNotRunProblem(refusal.type,
                           std::string(GetRefusalDetail(refusal.type)),
                           refusal.retry_after);
}

Problem ProblemFromRouteError(const Error& error, Duration backlog_time) {
  return MakeNotRunProblem(GetRouteProblemType(error.code), error.detail,
                           std::max(backlog_time, kDefaultRetryAfter));
}

Problem ProblemFromBegin(BeginStatus status) {
  Problem problem = MakeNotRunProblem(
      GetBeginProblemType(status),
      fmt::format(
          "this call was not started; result of the idempotency check: {}",
          BeginStatusName(status)));
  problem.outcome = BeginOutcome(status);
  return problem;
}

}  // namespace kingcupdrift
