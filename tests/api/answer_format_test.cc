#include "kingcupdrift/api/answer_format.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "kingcupdrift/api/api.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

AnswerFormatter Formatter(CompletionKind kind) {
  AnswerStart start;
  start.request = RequestId("r1");
  start.model = "glaze \"1\"";
  start.kind = kind;
  start.prompt_tokens = TokenCount(10);
  return AnswerFormatter(start, WallTime(std::chrono::seconds(1234)));
}

std::vector<ServerSentEvent> Parse(const std::string& text) {
  EventStreamParser parser;
  auto events = parser.Feed(text);
  REQUIRE(events.has_value());
  return *std::move(events);
}

TEST_CASE("A streamed text answer has the fields that clients read [api]") {
  const AnswerFormatter format = Formatter(CompletionKind::kText);
  CHECK(format.FormatStreamStart().empty());
  const auto chunk = Parse(format.FormatStreamChunk({3, 2, "a \"b\"\n"}));
  REQUIRE(chunk.size() == 1);
  CHECK(chunk[0].id == "5");
  const json body = json::parse(chunk[0].data);
  CHECK(body["id"] == "cmpl-r1");
  CHECK(body["object"] == "text_completion");
  CHECK(body["created"] == 1234);
  CHECK(body["model"] == "glaze \"1\"");
  CHECK(body["choices"][0]["text"] == "a \"b\"\n");
  CHECK(body["choices"][0]["finish_reason"].is_null());
  const auto end = Parse(format.FormatStreamEnd({FinishReason::kLength, 5}));
  REQUIRE(end.size() == 2);
  const json last = json::parse(end[0].data);
  CHECK(last["choices"][0]["finish_reason"] == "length");
  CHECK(last["usage"]["total_tokens"] == 15);
  CHECK(end[1].data == "[DONE]");
}

TEST_CASE("A streamed chat answer has the fields that clients read [api]") {
  const AnswerFormatter format = Formatter(CompletionKind::kChat);
  const auto opening = Parse(format.FormatStreamStart());
  const json first = json::parse(opening.at(0).data);
  CHECK(first["object"] == "chat.completion.chunk");
  CHECK(first["choices"][0]["delta"]["role"] == "assistant");
  const auto chunk = Parse(format.FormatStreamChunk({0, 1, "hi"}));
  CHECK(json::parse(chunk.at(0).data)["choices"][0]["delta"]["content"] ==
        "hi");
  const auto end = Parse(format.FormatStreamEnd({FinishReason::kStop, 1}));
  CHECK(json::parse(end.at(0).data)["choices"][0]["finish_reason"] == "stop");
}

TEST_CASE("Answers without streaming carry text and token usage [api]") {
  const auto text = json::parse(
      Formatter(CompletionKind::kText).FormatNonStreamedAnswer("all", {{}, 4}));
  CHECK(text["choices"][0]["text"] == "all");
  CHECK(text["usage"]["completion_tokens"] == 4);
  const auto chat = json::parse(
      Formatter(CompletionKind::kChat).FormatNonStreamedAnswer("all", {{}, 4}));
  CHECK(chat["object"] == "chat.completion");
  CHECK(chat["choices"][0]["message"]["content"] == "all");
}

TEST_CASE("A problem carries its type, outcome and error message [api]") {
  Problem problem;
  problem.type = ProblemType::kQueueFull;
  problem.detail = "1000 requests wait";
  problem.retry_after = milliseconds(1500);
  const ProblemAnswer answer = FormatProblem(problem, "/v1/completions");
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After") == "2");
  CHECK(FindHeader(answer.headers, "Content-Type") ==
        "application/problem+json");
  const json body = json::parse(answer.body);
  CHECK(body["type"] == "urn:kingcupdrift:problem:queue_full");
  CHECK(body["status"] == 503);
  CHECK(body["outcome"] == "not_run");
  CHECK(body["error"]["message"] == "1000 requests wait");
  CHECK(body["error"]["code"] == "queue_full");
  problem.retry_after = Duration(0);
  CHECK(FindHeader(FormatProblem(problem, "/").headers, "Retry-After") == "1");
}

TEST_CASE("A draining instance redirects to another one [api]") {
  Problem problem;
  problem.type = ProblemType::kLeaving;
  CHECK(FormatProblem(problem, "/v1/x?y").status == 503);
  problem.redirect = Endpoint{"10.0.0.2", 8080};
  const ProblemAnswer answer = FormatProblem(problem, "/v1/x?y");
  CHECK(answer.status == 307);
  CHECK(FindHeader(answer.headers, "Location") ==
        "http://10.0.0.2:8080/v1/x?y");
}

TEST_CASE("Only kInternal has the fallback name of a problem [api]") {
  for (int i = 0; i <= static_cast<int>(ProblemType::kInternal); ++i) {
    const auto type = static_cast<ProblemType>(i);
    CHECK((GetProblemName(type) == "internal") ==
          (type == ProblemType::kInternal));
  }
}

TEST_CASE("Events are parsed however the stream is split [api]") {
  const std::string text =
      ": comment\r\nid: 1\r\ndata: one\r\n\r\nevent: e\ndata:two\ndata: "
      "three\n\n\n\ndata: [DONE]\n\n";
  CHECK(rc::check("one split anywhere gives the same events", [&] {
    const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
    EventStreamParser parser;
    auto events = parser.Feed(text.substr(0, cut)).value();
    const auto rest = parser.Feed(text.substr(cut)).value();
    events.insert(events.end(), rest.begin(), rest.end());
    RC_ASSERT(events.size() == 3U);
    RC_ASSERT(events[0].id == "1");
    RC_ASSERT(events[0].data == "one");
    RC_ASSERT(events[1].data == "two\nthree");
    RC_ASSERT(events[1].name == "e");
    RC_ASSERT(events[2].data == "[DONE]");
  }));
}

TEST_CASE("An event longer than the limit is refused [api]") {
  EventStreamParser parser;
  const std::string piece(100'000, 'x');
  bool is_refused = false;
  for (int i = 0; i < 20 && !is_refused; ++i) {
    is_refused = !parser.Feed(piece).has_value();
  }
  CHECK(is_refused);
}

}  // namespace
}  // namespace kingcupdrift
