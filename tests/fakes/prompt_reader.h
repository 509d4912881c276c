#ifndef TESTS_FAKES_PROMPT_READER_H_
#define TESTS_FAKES_PROMPT_READER_H_

#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/engine_model.h"

namespace kingcupdrift::fakes {

/// The prompt of a completion's JSON body.
struct ParsedPrompt {
  PromptDigests digests;
  TokenCount tokens;
};

/// Reads "prompt" or "messages" as an entry (a serving process) does: the JSON
/// text between its outer quotes or brackets. The answer's seed depends on that
/// text alone, so that every attempt of a request gives the same answer. Error:
/// kInvalidArgument if the body has neither.
Result<ParsedPrompt> ParsePrompt(const std::string& body);

/// Reads the prompt of an engine request; returns no blocks if it is malformed.
PromptDigests ParseRequestPrompt(const EngineStreamRequest& request);

/// The first `n` tokens of the answer to a body.
std::string ExpectedAnswer(const std::string& body, std::uint64_t n);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_PROMPT_READER_H_
