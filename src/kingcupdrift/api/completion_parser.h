#ifndef KINGCUPDRIFT_API_COMPLETION_PARSER_H_
#define KINGCUPDRIFT_API_COMPLETION_PARSER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "kingcupdrift/api/body_slices.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Prompt bytes that the token estimate counts as one token.
inline constexpr std::int64_t kBytesPerToken = 4;
/// Size of the prompt blocks that the prefix index and the engines' prefix
/// caches use.
inline constexpr std::size_t kPromptBlockBytes = 4096;
/// Limits the JSON text of "model", its quotes and escapes included.
inline constexpr std::size_t kMaxModelNameBytes = 256;
/// A request with a larger "max_completion_tokens" is refused or, without that
/// member, one with a larger "max_tokens".
inline constexpr std::int64_t kMaxOutputTokens = 1'000'000;

/// Parses the body of /v1/completions or /v1/chat/completions. Reads "model",
/// "stream", "max_completion_tokens" (preferred) or "max_tokens", and the
/// prompt: the bytes of the JSON value of "prompt" or "messages" as sent,
/// without its outer quotes or brackets. The call's `context` is left empty.
/// Errors: kInvalidArgument for an invalid value, "n" or "best_of" above 1, a
/// member given twice, or a member "continuation".
Result<CompletionCall> ParseCompletion(CompletionKind kind, SharedBytes body);

/// One digest for each full block of the prompt, seeded with the digest before
/// it, so that it stands for the whole prefix. Equal prefixes give equal
/// digests; equal digests very likely mean equal prefixes (64 bits, without
/// cryptographic strength).
std::vector<std::uint64_t> ComputeBlockDigests(std::string_view prompt);

/// Estimates a prompt's tokens: its bytes divided by kBytesPerToken, rounded
/// up.
TokenCount EstimateTokens(std::string_view prompt);

/// The part of an answer that was already generated and that an engine is to
/// continue.
struct Continuation {
  std::string_view text;
  /// Number of tokens in `text`.
  std::uint64_t offset = 0;
};

/// Builds the body for an engine: the caller's JSON object with its top-level
/// "stream" set to true and, if `continuation.offset` is not zero, a top-level
/// member "continuation":{"text":...,"offset":...} added. The caller's bytes
/// are referenced, not copied. Errors: kInvalidArgument if `body` is not a JSON
/// object, has a member twice, or has a member "continuation".
Result<BodySlices> MakeEngineBody(const SharedBytes& body,
                                  const Continuation& continuation);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_COMPLETION_PARSER_H_
