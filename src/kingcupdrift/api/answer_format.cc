#include "kingcupdrift/api/answer_format.h"

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "kingcupdrift/api/internal/json_text.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;

json Usage(const AnswerStart& start, std::uint64_t total_tokens) {
  const auto prompt = start.prompt_tokens.value();
  const auto completion = static_cast<std::int64_t>(total_tokens);
  return {{"prompt_tokens", prompt},
          {"completion_tokens", completion},
          {"total_tokens", prompt + completion},
          {"prompt_tokens_details",
           {{"cached_tokens", start.cached_tokens.value()}}}};
}

std::string AnswerId(const AnswerStart& start) {
  const bool is_chat = start.kind == CompletionKind::kChat;
  return (is_chat ? "chatcmpl-" : "cmpl-") + start.request.value();
}

std::string Event(std::uint64_t id, std::string_view data) {
  return fmt::format("id: {}\ndata: {}\n\n", id, data);
}

}  // namespace

AnswerFormatter::AnswerFormatter(AnswerStart start, WallTime created)
    : start_(std::move(start)),
      created_seconds_(std::chrono::duration_cast<std::chrono::seconds>(
                           created.time_since_epoch())
                           .count()) {
  const bool is_chat = start_.kind == CompletionKind::kChat;
  event_prefix_ = fmt::format(
      R"({{"id":{},"object":"{}","created":{},"model":{},"choices":[)",
      QuoteJson(AnswerId(start_)),
      is_chat ? "chat.completion.chunk" : "text_completion", created_seconds_,
      QuoteJson(start_.model));
}

std::string AnswerFormatter::FormatStreamStart() const {
  if (start_.kind != CompletionKind::kChat) {
    return {};
  }
  return Event(0, event_prefix_ +
                      R"({"index":0,"delta":{"role":"assistant","content":""},)"
                      R"("logprobs":null,"finish_reason":null}]})");
}

std::string AnswerFormatter::FormatStreamChunk(const AnswerChunk& chunk) const {
  const std::string text = QuoteJson(chunk.text);
  const bool is_chat = start_.kind == CompletionKind::kChat;
  const std::string part =
      is_chat ? fmt::format(R"("delta":{{"content":{}}})", text)
              : fmt::format(R"("text":{})", text);
  return Event(
      chunk.offset + chunk.token_count,
      fmt::format(
          R"({}{{"index":0,{},"logprobs":null,"finish_reason":null}}]}})",
          event_prefix_, part));
}

std::string AnswerFormatter::FormatStreamEnd(const AnswerEnd& end) const {
  const bool is_chat = start_.kind == CompletionKind::kChat;
  const std::string last = fmt::format(
      R"({}{{"index":0,{},"logprobs":null,"finish_reason":"{}"}}],"usage":{}}})",
      event_prefix_, is_chat ? R"("delta":{})" : R"("text":"")",
      GetFinishReasonName(end.reason),
      ToJsonText(Usage(start_, end.total_tokens)));
  return Event(end.total_tokens, last) + "data: [DONE]\n\n";
}

std::string AnswerFormatter::FormatNonStreamedAnswer(
    std::string_view text,
    const AnswerEnd& end) const {
  const bool is_chat = start_.kind == CompletionKind::kChat;
  json choice = {{"index", 0},
                 {"logprobs", nullptr},
                 {"finish_reason", GetFinishReasonName(end.reason)}};
  if (is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  json answer = {{"id", AnswerId(start_)},
                 {"object", is_chat ? "chat.completion" : "text_completion"},
                 {"created", created_seconds_},
                 {"model", start_.model},
                 {"usage", Usage(start_, end.total_tokens)}};
  answer["choices"] = json::array({std::move(choice)});
  return ToJsonText(answer);
}

}  // namespace kingcupdrift
