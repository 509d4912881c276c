#ifndef KINGCUPDRIFT_API_RESUME_TOKEN_H_
#define KINGCUPDRIFT_API_RESUME_TOKEN_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// What any entry needs to go on with a stream.
struct ResumeToken {
  EngineId engine;
  ServiceId service;
  AttemptId attempt;
  RequestId request;
  WorkspaceId workspace;
  CompletionKind kind = CompletionKind::kText;
  std::string model;
  TokenCount prompt_tokens;
  WallTime expiry{};
};

inline constexpr std::size_t kMaxResumeTokenBytes = 4096;

/// Text of a token, authenticated with the entries' shared secret.
std::string EncodeResumeToken(const ResumeToken& token,
                              std::string_view secret);
/// kUnauthorized for a forged, altered or expired token.
Result<ResumeToken> DecodeResumeToken(std::string_view text,
                                      std::string_view secret,
                                      WallTime now);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_RESUME_TOKEN_H_
