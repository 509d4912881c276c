#include "kingcupdrift/api/problem_format.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>

#include "kingcupdrift/api/internal/json_text.h"

namespace kingcupdrift {
namespace {

constexpr std::string_view kTypePrefix = "urn:kingcupdrift:problem:";

struct ProblemRow {
  ProblemType type;
  std::string_view name;
  std::string_view title;
  int status;
};

constexpr std::array<ProblemRow, 19> kProblems = {{
    {ProblemType::kInvalidRequest, "invalid_request", "Invalid request", 400},
    {ProblemType::kUnauthorized, "unauthorized", "Unknown workspace token",
     401},
    {ProblemType::kUnknownModel, "unknown_model", "Unknown model", 404},
    {ProblemType::kNotFound, "not_found", "No such path", 404},
    {ProblemType::kIdempotencyKeyRequired, "idempotency_key_required",
     "This request needs an Idempotency-Key", 400},
    {ProblemType::kIdempotencyKeyExpired, "idempotency_key_expired",
     "The Idempotency-Key has expired", 410},
    {ProblemType::kIdempotencyKeyInUse, "idempotency_key_in_use",
     "A request with this Idempotency-Key is in progress or its outcome is "
     "unknown",
     409},
    {ProblemType::kBodyTooLarge, "body_too_large", "Body too large", 413},
    {ProblemType::kWorkspaceLimit, "workspace_limit",
     "The workspace's limit is reached", 429},
    {ProblemType::kQueueFull, "queue_full", "The queue is full", 503},
    {ProblemType::kDeadlineInfeasible, "deadline_infeasible",
     "The request cannot finish within its time limit", 503},
    {ProblemType::kDeadlineExceeded, "deadline_exceeded",
     "The request's time limit has passed", 504},
    {ProblemType::kNoEngine, "no_engine", "No engine can take the request",
     503},
    {ProblemType::kStoreUnavailable, "store_unavailable",
     "The key-value store cannot be reached", 503},
    {ProblemType::kLeaving, "leaving", "This instance is shutting down", 503},
    {ProblemType::kNotReady, "not_ready", "This instance is not ready yet",
     503},
    {ProblemType::kEngineFailed, "engine_failed", "The engine failed", 502},
    {ProblemType::kResumeRefused, "resume_refused",
     "The stream cannot be resumed", 403},
    {ProblemType::kInternal, "internal", "Internal error", 500},
}};

const ProblemRow& FindRow(ProblemType type) {
  const auto* const it =
      std::find_if(kProblems.begin(), kProblems.end(),
                   [&](const ProblemRow& row) { return row.type == type; });
  return it == kProblems.end() ? kProblems.back() : *it;
}

bool IsRedirect(const Problem& problem) {
  return problem.type == ProblemType::kLeaving && problem.redirect.has_value();
}

bool IsRetryHinted(const Problem& problem, int status) {
  return problem.retry_after > Duration::zero() || status == 429 ||
         status == 503 || status == 504;
}

std::string RetryAfterSeconds(Duration delay) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
  return std::to_string(std::max<std::int64_t>(seconds, 1));
}

std::string ProblemBody(const Problem& problem) {
  const ProblemRow& row = FindRow(problem.type);
  const std::string detail =
      problem.detail.empty() ? std::string(row.title) : problem.detail;
  const nlohmann::json body = {
      {"type", std::string(kTypePrefix) + std::string(row.name)},
      {"title", row.title},
      {"status", ProblemStatus(problem)},
      {"detail", detail},
      {"outcome", GetOutcomeName(problem.outcome)},
      {"error", {{"message", detail}, {"type", row.name}, {"code", row.name}}}};
  return ToJsonText(body);
}

}  // namespace

std::string_view GetProblemName(ProblemType type) {
  return FindRow(type).name;
}

int ProblemStatus(const Problem& problem) {
  return IsRedirect(problem) ? 307 : FindRow(problem.type).status;
}

ProblemAnswer FormatProblem(const Problem& problem, std::string_view target) {
  ProblemAnswer answer;
  answer.status = ProblemStatus(problem);
  answer.body = ProblemBody(problem);
  answer.headers = {{"Content-Type", "application/problem+json"}};
  if (IsRedirect(problem)) {
    answer.headers.emplace_back(
        "Location",
        "http://" + ToString(*problem.redirect) + std::string(target));
  } else if (IsRetryHinted(problem, answer.status)) {
    answer.headers.emplace_back("Retry-After",
                                RetryAfterSeconds(problem.retry_after));
  }
  return answer;
}

std::string FormatProblemEvent(const Problem& problem) {
  return "data: " + ProblemBody(problem) + "\n\n";
}

}  // namespace kingcupdrift
