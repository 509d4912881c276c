#include "tests/fakes/prompt_reader.h"

#include <simdjson.h>

#include <array>
#include <string_view>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "tests/fakes/answer_text.h"

namespace kingcupdrift::fakes {
namespace {

constexpr std::array<const char*, 2> kPromptFields = {"prompt", "messages"};

/// The value's text without its outer quotes or brackets.
std::string_view Inner(std::string_view json) {
  const std::size_t end = json.find_last_of("]\"");
  if (json.size() < 2 || end == std::string_view::npos || end == 0) {
    return {};
  }
  return json.substr(1, end - 1);
}

}  // namespace

Result<ReadPrompt> ReadPromptOf(const std::string& body) {
  const simdjson::padded_string padded(body);
  simdjson::ondemand::parser parser;
  for (const char* field : kPromptFields) {
    simdjson::ondemand::document document;
    std::string_view json;
    if (parser.iterate(padded).get(document) == simdjson::SUCCESS &&
        document[field].raw_json().get(json) == simdjson::SUCCESS) {
      const std::string_view prompt = Inner(json);
      ReadPrompt read;
      read.facts.answer_seed = AnswerSeed(std::string(prompt));
      read.facts.blocks = PromptBlockDigests(prompt);
      read.tokens = EstimateTokens(prompt);
      return read;
    }
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
