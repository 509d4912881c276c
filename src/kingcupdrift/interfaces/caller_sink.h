#ifndef KINGCUPDRIFT_INTERFACES_CALLER_SINK_H_
#define KINGCUPDRIFT_INTERFACES_CALLER_SINK_H_

#include <cstdint>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/engine_client.h"
#include "kingcupdrift/interfaces/service_client.h"

namespace kingcupdrift {

/// Kinds of refusals and failures. Their names in the API are stable.
enum class ProblemType {
  kInvalidRequest,
  kUnauthorized,
  kUnknownModel,
  /// The path or the service does not exist, or the path does not take this
  /// method.
  kNotFound,
  /// The call is not idempotent and has no idempotency key.
  kIdempotencyKeyRequired,
  /// The time for which the key is remembered has passed; an earlier call with
  /// it may have run.
  kIdempotencyKeyExpired,
  /// A call with this key is running, or its outcome is unknown.
  kIdempotencyKeyInUse,
  kBodyTooLarge,
  /// The workspace's usage limit is used up.
  kWorkspaceLimit,
  /// The queue of the service, or of the idempotency journal, is full.
  kQueueFull,
  /// Refused early, as the answer cannot be complete before the deadline.
  kDeadlineInfeasible,
  /// The deadline has passed.
  kDeadlineExceeded,
  /// No engine of the service is usable.
  kNoEngine,
  kStoreUnavailable,
  /// This entry (serving process) is draining.
  kLeaving,
  /// This entry has no configuration yet.
  kNotReady,
  kEngineFailed,
  /// The resume token is not valid, or its stream cannot be continued.
  kResumeRefused,
  kInternal,
};

/// A refusal or failure, as reported to the caller.
struct Problem {
  ProblemType type = ProblemType::kInternal;
  /// States if the request may have run.
  Outcome outcome = Outcome::kNotRun;
  std::string detail;
  /// Advised delay before a retry; zero if none is known.
  Duration retry_after{0};
  /// Another entry that accepts new requests, if this one is draining.
  std::optional<Endpoint> redirect;
};

/// Start of an answer.
struct AnswerStart {
  RequestId request;
  std::string model;
  CompletionKind kind = CompletionKind::kText;
  /// Lets the caller resume the stream at any entry; empty if it cannot.
  std::string resume_token;
  TokenCount prompt_tokens;
  /// Prompt tokens that needed no prefill.
  TokenCount cached_tokens;
};

/// A part of the answer. `offset` is the number of the answer's tokens before
/// it. Its event ID, which a resuming caller sends back, is the number of
/// tokens up to its end: `offset` + `token_count`.
struct AnswerChunk {
  std::uint64_t offset = 0;
  std::uint32_t token_count = 0;
  std::string text;
};

struct AnswerEnd {
  FinishReason reason = FinishReason::kStop;
  /// Tokens of the whole answer.
  std::uint64_t total_tokens = 0;
};

/// Writes one request's answer to its caller. Exactly one of Finish, Fail and
/// Reply ends the request, unless the caller disconnects first; after it no
/// method is called.
class CallerSink {
 public:
  virtual ~CallerSink() = default;

  virtual void Begin(const AnswerStart& start) = 0;
  virtual void Write(const AnswerChunk& chunk) = 0;
  virtual void Finish(const AnswerEnd& end) = 0;
  /// Allowed before and after Begin.
  virtual void Fail(const Problem& problem) = 0;
  /// Writes a plain service's whole response.
  virtual void Reply(const ServiceResponse& response) = 0;
  /// Bytes written that the caller's connection has not taken yet.
  virtual ByteCount GetUnsentBytes() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_CALLER_SINK_H_
