#ifndef KINGCUPDRIFT_API_COMPLETION_PARSER_H_
#define KINGCUPDRIFT_API_COMPLETION_PARSER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "kingcupdrift/api/body_slices.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Prompt bytes counted as one token.
inline constexpr std::int64_t kBytesPerToken = 4;
/// Size of the blocks that the prefix index and the engines' caches work in.
inline constexpr std::size_t kPromptBlockBytes = 4096;
inline constexpr std::size_t kMaxModelNameBytes = 256;
inline constexpr std::int64_t kMaxOutputTokens = 1'000'000;

/// Parses the body of /v1/completions or /v1/chat/completions; `context` is
/// left empty. The prompt's bytes are those of the JSON value of "prompt" or
/// "messages" as sent, from behind its opening quote or bracket to before its
/// closing one. kInvalidArgument with what is wrong.
Result<CompletionCall> ParseCompletion(CompletionKind kind, SharedBytes body);

/// Chain of digests over the whole blocks of a prompt's bytes, each seeded with
/// the digest before it, so that equal digests mean equal prefixes.
std::vector<std::uint64_t> ComputeBlockDigests(std::string_view prompt);

/// Estimate of a prompt's tokens: bytes over kBytesPerToken, rounded up.
TokenCount EstimateTokens(std::string_view prompt);

/// The answer so far, from which an engine shall go on.
struct Continuation {
  std::string_view text;
  std::uint64_t offset = 0;
};

/// The body that an engine gets: the caller's JSON object with its top-level
/// "stream" set to true and, if `continuation.offset` is not zero, a top-level
/// member "continuation":{"text":...,"offset":...} added. The caller's bytes
/// are referenced, not copied. kInvalidArgument if `body` is no JSON object.
Result<BodySlices> MakeEngineBody(const SharedBytes& body,
                                  const Continuation& continuation);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_COMPLETION_PARSER_H_
