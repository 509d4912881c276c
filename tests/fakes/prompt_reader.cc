#include "tests/fakes/prompt_reader.h"

#include <string_view>
#include <utility>
#include <vector>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/api/internal/json_members.h"
#include "tests/fakes/answer_text.h"

namespace kingcupdrift::fakes {
namespace {

/// Returns a JSON value's text without its outer quotes or brackets.
std::string_view Inner(std::string_view json) {
  return json.size() < 2 ? std::string_view() : json.substr(1, json.size() - 2);
}

}  // namespace

Result<ParsedPrompt> ParsePrompt(const std::string& body) {
  const Result<std::vector<JsonMember>> members = ListJsonMembers(body);
  if (!members) {
    return tl::unexpected(members.error());
  }
  for (const JsonMember& it : *members) {
    if (it.key != "prompt" && it.key != "messages") {
      continue;
    }
    const std::string_view prompt = Inner(it.raw);
    ParsedPrompt parsed;
    parsed.digests.answer_seed = AnswerSeed(std::string(prompt));
    parsed.digests.blocks = ComputeBlockDigests(prompt);
    parsed.tokens = EstimateTokens(prompt);
    return parsed;
  }
  return MakeError(ErrorCode::kInvalidArgument,
                   "body has neither \"prompt\" nor \"messages\"");
}

PromptDigests ParseRequestPrompt(const EngineStreamRequest& request) {
  Result<ParsedPrompt> parsed = ParsePrompt(*request.body);
  return parsed ? std::move(parsed->digests) : PromptDigests();
}

std::string ExpectedAnswer(const std::string& body, std::uint64_t n) {
  const Result<ParsedPrompt> parsed = ParsePrompt(body);
  return parsed ? AnswerText(parsed->digests.answer_seed, 0, n) : std::string();
}

}  // namespace kingcupdrift::fakes
