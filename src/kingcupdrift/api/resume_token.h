#ifndef KINGCUPDRIFT_API_RESUME_TOKEN_H_
#define KINGCUPDRIFT_API_RESUME_TOKEN_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// What any entry (serving process) needs to resume an interrupted stream.
/// Callers can read a token but cannot alter it.
struct ResumeToken {
  EngineId engine;
  ServiceId service;
  /// The attempt that generates the stream at `engine`.
  AttemptId attempt;
  RequestId request;
  WorkspaceId workspace;
  CompletionKind kind = CompletionKind::kText;
  std::string model;
  TokenCount prompt_tokens;
  WallTime expiry{};
};

inline constexpr std::size_t kMaxResumeTokenBytes = 4096;

/// Encodes a token as text, authenticated with the secret that all entries
/// share.
std::string EncodeResumeToken(const ResumeToken& token,
                              std::string_view secret);
/// Errors: kUnauthorized for a token that is malformed, altered, made with
/// another secret, or expired at `now`.
Result<ResumeToken> DecodeResumeToken(std::string_view text,
                                      std::string_view secret,
                                      WallTime now);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_RESUME_TOKEN_H_
