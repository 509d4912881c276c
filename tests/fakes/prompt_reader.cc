#include "tests/fakes/prompt_reader.h"

#include <string_view>
#include <utility>
#include <vector>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/api/internal/json_members.h"
#include "tests/fakes/answer_text.h"

namespace kingcupdrift::fakes {
namespace {

/// The value's text without its outer quotes or brackets.
std::string_view Inner(std::string_view json) {
  return json.size() < 2 ? std::string_view() : json.substr(1, json.size() - 2);
}

}  // namespace

Result<ReadPrompt> ReadPromptOf(const std::string& body) {
  const Result<std::vector<JsonMember>> members = ListJsonMembers(body);
  if (!members) {
    return tl::unexpected(members.error());
  }
  for (const JsonMember& it : *members) {
    if (it.key != "prompt" && it.key != "messages") {
      continue;
    }
    const std::string_view prompt = Inner(it.raw);
    ReadPrompt read;
    read.facts.answer_seed = AnswerSeed(std::string(prompt));
    read.facts.blocks = ComputeBlockDigests(prompt);
    read.tokens = EstimateTokens(prompt);
    return read;
  }
  return MakeError(ErrorCode::kInvalidArgument, "no prompt");
}

PromptFacts ReadRequestPrompt(const EngineStreamRequest& request) {
  Result<ReadPrompt> read = ReadPromptOf(*request.body);
  return read ? std::move(read->facts) : PromptFacts();
}

std::string ExpectedAnswer(const std::string& body, std::uint64_t n) {
  const Result<ReadPrompt> read = ReadPromptOf(body);
  return read ? AnswerText(read->facts.answer_seed, 0, n) : std::string();
}

}  // namespace kingcupdrift::fakes
