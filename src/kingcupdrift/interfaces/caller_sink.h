#ifndef KINGCUPDRIFT_INTERFACES_CALLER_SINK_H_
#define KINGCUPDRIFT_INTERFACES_CALLER_SINK_H_

#include <cstdint>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/engine_client.h"
#include "kingcupdrift/interfaces/service_client.h"

namespace kingcupdrift {

/// Kinds of refusal and failure, stable names in the API.
enum class ProblemType {
  kInvalidRequest,
  kUnauthorized,
  kUnknownModel,
  kNotFound,
  kIdempotencyKeyRequired,
  kIdempotencyKeyExpired,
  kIdempotencyKeyInUse,
  kBodyTooLarge,
  kWorkspaceLimit,
  kQueueFull,
  kDeadlineInfeasible,
  kDeadlineExceeded,
  kNoEngine,
  kStoreUnavailable,
  kLeaving,
  kNotReady,
  kEngineFailed,
  kResumeRefused,
  kInternal,
};

/// A refusal or failure, as the caller gets it.
struct Problem {
  ProblemType type = ProblemType::kInternal;
  Outcome outcome = Outcome::kNotRun;
  std::string detail;
  /// When asking again may help.
  Duration retry_after{0};
  /// Another entry that takes new work, when this one is leaving.
  std::optional<Endpoint> redirect;
};

/// Start of an answer.
struct AnswerStart {
  RequestId request;
  std::string model;
  CompletionKind kind = CompletionKind::kText;
  std::string resume_token;
  TokenCount prompt_tokens;
  TokenCount cached_tokens;
};

/// A part of the answer. `offset` counts tokens from the answer's start and is
/// the event identifier a resuming caller sends back.
struct AnswerChunk {
  std::uint64_t offset = 0;
  std::uint32_t token_count = 0;
  std::string text;
};

struct AnswerEnd {
  FinishReason reason = FinishReason::kStop;
  std::uint64_t total_tokens = 0;
};

/// Writes to one caller. Exactly one of Finish, Fail and Reply ends a request;
/// after it no method is called.
class CallerSink {
 public:
  virtual ~CallerSink() = default;

  virtual void Begin(const AnswerStart& start) = 0;
  virtual void Write(const AnswerChunk& chunk) = 0;
  virtual void Finish(const AnswerEnd& end) = 0;
  /// Allowed before and after Begin.
  virtual void Fail(const Problem& problem) = 0;
  /// Answer of a plain service.
  virtual void Reply(const ServiceResponse& response) = 0;
  /// Bytes written and not yet taken by the caller's connection.
  virtual ByteCount GetUnsentBytes() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_CALLER_SINK_H_
