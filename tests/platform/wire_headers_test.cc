#include "platform/internal/wire_headers.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace kingcupdrift::platform {
namespace {

/// An exchange that holds a request and ignores the answer.
class FakeHttpExchange : public HttpExchange {
 public:
  explicit FakeHttpExchange(HeaderList headers)
      : headers_(std::move(headers)) {}
  const std::string& method() const override { return method_; }
  const std::string& target() const override { return target_; }
  const HeaderList& headers() const override { return headers_; }
  const SharedBytes& body() const override { return body_; }
  void Respond(int, const HeaderList&, SharedBytes) override {}
  void StartChunked(int, const HeaderList&) override {}
  void WriteChunk(std::string_view) override {}
  void EndChunked() override {}
  bool IsClosed() const override { return false; }
  ByteCount GetUnsentBytes() const override { return ByteCount(0); }
  void SetClosedCallback(std::function<void()>) override {}
  void SetDrainedCallback(std::function<void()>) override {}

 private:
  std::string method_ = "POST";
  std::string target_ = "/p/x?y=1";
  HeaderList headers_;
  SharedBytes body_ = std::make_shared<const std::string>("body");
};

std::string Value(const HeaderList& headers, const std::string& name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(),
                   [&](const auto& header) { return header.first == name; });
  return it == headers.end() ? std::string() : it->second;
}

ForwardCall Decode(const HeaderList& headers) {
  return DecodeCall(FakeHttpExchange(headers));
}

TEST_CASE("an answer of another media type is no event stream") {
  for (const char* type : {"text/event-stream", "Text/Event-Stream",
                           "text/event-stream; charset=utf-8"}) {
    CHECK_FALSE(
        DecodeAnswer(200, {{"Content-Type", type}}).has_other_media_type);
  }
  CHECK_FALSE(DecodeAnswer(200, {}).has_other_media_type);
  CHECK(
      DecodeAnswer(200, {{"Content-Type", "text/html"}}).has_other_media_type);
}

TEST_CASE("the last part of a prompt is its own, the others are shared") {
  const auto parts_of = [](const std::string& listed) {
    const ForwardCall call =
        Decode({{"Token-Counts", "1460,80"}, {"Prompt-Prefix", listed}});
    REQUIRE(call.prompt);
    return call.prompt->shared_parts;
  };
  using Parts = std::vector<PromptPartId>;
  CHECK(parts_of("").empty());
  CHECK(parts_of("5c:8").empty());
  CHECK(parts_of("5c:8,91:4, e4:2") ==
        Parts{PromptPartId("5c"), PromptPartId("91")});
  CHECK(parts_of("5c, :4,,91:4,e4:2") ==
        Parts{PromptPartId("5c"), PromptPartId("91")});
  std::string many;
  for (int i = 0; i < 1000; ++i) {
    many += std::to_string(i) + ":1,";
  }
  CHECK(parts_of(many).size() == 64);
}

TEST_CASE("a prompt's request is decoded and its key is not passed on") {
  const ForwardCall call = Decode({{"host", "example:80"},
                                   {"Request-Id", "9c41"},
                                   {"Token-Counts", "1460,80"},
                                   {"Length-Hint", "40"},
                                   {"Deadline-Milliseconds", "900"},
                                   {"Last-Event-Id", "12"},
                                   {"Tenant", "forged"},
                                   {"Connection", "X-Hop"},
                                   {"X-Hop", "1"},
                                   {"Prompt-Prefix", "5c:8"},
                                   {"Authorization", "Bearer secret"}});
  CHECK(call.id == RequestId("9c41"));
  CHECK(call.host == "example");
  CHECK(call.key == "secret");
  CHECK(call.prompt->prompt == TokenCount(1460));
  CHECK(call.prompt->max_output == TokenCount(80));
  CHECK(call.prompt->expected_output == TokenCount(40));
  CHECK(call.time_limit == std::chrono::milliseconds(900));
  CHECK(call.last_event_id == 12);
  CHECK(Value(call.headers, "Host") == "example:80");
  CHECK(Value(call.headers, "Prompt-Prefix") == "5c:8");
  CHECK(Value(call.headers, "Request-Id") == "9c41");
  for (const char* name : {"Authorization", "Tenant", "X-Hop", "Connection"}) {
    CHECK(Value(call.headers, name).empty());
  }
}

TEST_CASE("a relayed call reaches the other entry as its caller sent it") {
  const ForwardCall call = Decode({{"Host", "example:80"},
                                   {"Request-Id", "5a"},
                                   {"Authorization", "Bearer secret"},
                                   {"Token-Counts", "1460,80"},
                                   {"Prompt-Prefix", "5c:800,91:4"},
                                   {"Tenant", "forged"}});
  CHECK_FALSE(call.is_relayed);
  TargetRequest request;
  request.call = &call;
  request.workspace = WorkspaceId("workspace");
  request.time_left = std::chrono::milliseconds(900);
  request.last_event_id = 4;
  request.is_relay = true;
  const HeaderList headers = EncodeRelayHeaders(request);
  CHECK(Value(headers, "Tenant").empty());
  CHECK(Value(headers, "Expected-Instance").empty());
  const ForwardCall relayed = Decode(headers);
  CHECK(relayed.is_relayed);
  CHECK(relayed.id == call.id);
  CHECK(relayed.host == "example");
  CHECK(relayed.key == "secret");
  CHECK(relayed.time_limit == std::chrono::milliseconds(900));
  CHECK(relayed.last_event_id == 4);
  REQUIRE(relayed.prompt);
  CHECK(relayed.prompt->shared_parts == call.prompt->shared_parts);
  // Engines get neither the key nor the mark.
  request.call = &relayed;
  const HeaderList to_engine = EncodeTargetHeaders(EngineAddress(), request);
  CHECK(Value(to_engine, "Authorization").empty());
  CHECK(Value(to_engine, "Kingcupdrift-Relayed").empty());
  CHECK(Value(to_engine, "Tenant") == "workspace");
}

// Guards against arithmetic with a caller's numbers that overflows.
// Guards against headers that are lost because the list contains their names as
// parts of other words.
TEST_CASE("only the headers that Connection lists are not passed on") {
  const ForwardCall call = Decode({{"Connection", "keep-alive, X-One ,x-two"},
                                   {"Connection", "X-Three"},
                                   {"keep", "1"},
                                   {"alive", "2"},
                                   {"x-one", "3"},
                                   {"X-Two", "4"},
                                   {"X-Three", "5"},
                                   {"X-On", "6"}});
  CHECK(Value(call.headers, "keep") == "1");
  CHECK(Value(call.headers, "alive") == "2");
  CHECK(Value(call.headers, "X-On") == "6");
  for (const char* name : {"x-one", "X-Two", "X-Three", "Connection"}) {
    CAPTURE(name);
    CHECK(Value(call.headers, name).empty());
  }
}

TEST_CASE("numbers of a caller beyond any use are bounded") {
  const std::string most = "9223372036854775807";
  const ForwardCall call = Decode({{"Host", "h"},
                                   {"Token-Counts", most + "," + most},
                                   {"Length-Hint", most},
                                   {"Deadline-Milliseconds", most}});
  constexpr TokenCount kMostTokens{1'000'000'000};
  REQUIRE(call.prompt);
  CHECK(call.prompt->prompt == kMostTokens);
  CHECK(call.prompt->max_output == kMostTokens);
  CHECK(call.prompt->expected_output == kMostTokens);
  CHECK(call.time_limit == std::chrono::hours(24));
}

TEST_CASE("values of invalid headers are left out of the call") {
  const ForwardCall call = Decode({{"Host", "h"},
                                   {"Token-Counts", "many"},
                                   {"Deadline-Milliseconds", "-1"},
                                   {"Authorization", "Basic x"}});
  CHECK_FALSE(call.prompt);
  CHECK_FALSE(call.time_limit);
  CHECK(call.key.empty());
}

TEST_CASE(
    "requests with an ambiguous length or host or a repeated ID are refused") {
  const auto is_refused = [](HeaderList headers) {
    headers.emplace_back("Host", "h");
    return FindAmbiguity(headers) != nullptr;
  };
  CHECK_FALSE(is_refused({{"Content-Length", "4"}}));
  CHECK_FALSE(is_refused({{"Transfer-Encoding", "chunked"}}));
  CHECK(is_refused({{"Content-Length", "4"}, {"content-length", "5"}}));
  CHECK(
      is_refused({{"Content-Length", "4"}, {"Transfer-Encoding", "chunked"}}));
  CHECK(is_refused({{"Content-Length", "+4"}}));
  CHECK(is_refused({{"Transfer-Encoding", "gzip, chunked"}}));
  CHECK(is_refused({{"Host", "other"}}));
  CHECK(is_refused({{"Request-Id", "a"}, {"Request-Id", "b"}}));
  CHECK(FindAmbiguity({}) != nullptr);
}

TEST_CASE(
    "an attempt's headers name its engine, workspace, helpers and time left") {
  ForwardCall call;
  call.headers = {{"Host", "h"}};
  TargetRequest request;
  request.call = &call;
  request.workspace = WorkspaceId("w");
  request.time_left = std::chrono::microseconds(1'234'567);
  request.last_event_id = 3;
  request.helpers = {
      {{EngineId("e"), {"10.0.0.1", 80}}, TokenCount(5), ReservationId("t1")},
      {{EngineId("f"), {"10.0.0.2", 80}}, TokenCount(), ReservationId()}};
  const HeaderList headers =
      EncodeTargetHeaders({EngineId("i-1"), {"10.0.0.3", 80}}, request);
  CHECK(Value(headers, "Deadline-Milliseconds") == "1234");
  CHECK(Value(headers, "Expected-Instance") == "i-1");
  CHECK(Value(headers, "Tenant") == "w");
  CHECK(Value(headers, "Last-Event-Id") == "3");
  CHECK(Value(headers, "Helpers") == "10.0.0.1:80/t1,10.0.0.2:80");
}

// Failure: a caller gives its request a priority of its own.
TEST_CASE("engines get the request's priority, never the caller's") {
  const ForwardCall call = Decode(
      {{"Host", "h"}, {"Request-Priority", "0"}, {"request-priority", "1"}});
  TargetRequest request;
  request.call = &call;
  CHECK(Value(EncodeTargetHeaders(EngineAddress(), request), "Request-Priority")
            .empty());
  request.priority = 7;
  CHECK(Value(EncodeTargetHeaders(EngineAddress(), request),
              "Request-Priority") == "7");
  // The other entry applies its own configuration.
  CHECK(Value(EncodeRelayHeaders(request), "Request-Priority").empty());
}

TEST_CASE("a response head is decoded with its request ID and not-run mark") {
  const TargetResponseHead answer =
      DecodeAnswer(503, {{"Request-Id", "9c41"},
                         {"Not-Executed", "1"},
                         {"At-Server", "10.0.0.1:80"},
                         {"Keep-Alive", "timeout=5"},
                         {"Server-Stamp", "s"}});
  CHECK(answer.request == RequestId("9c41"));
  CHECK(answer.is_not_run);
  CHECK(answer.faulty_engine == Endpoint{"10.0.0.1", 80});
  CHECK(Value(answer.headers, "Server-Stamp") == "s");
  CHECK(Value(answer.headers, "Keep-Alive").empty());
  CHECK(answer.has_not_run_mark);
  CHECK(DecodeAnswer(421, {}).is_not_run);
  CHECK_FALSE(DecodeAnswer(421, {}).has_not_run_mark);
  CHECK_FALSE(DecodeAnswer(503, {}).is_not_run);
}

// Guards against a page of another server that passes for an engine's answer.
TEST_CASE(
    "an answer is the engine's only with the request's ID and signature") {
  const HeaderList id = {{"request-id", "5a"}};
  const HeaderList stamp = {{"Server-Stamp", "s"}};
  const auto is_answer = [](int status, const std::vector<HeaderList>& parts) {
    HeaderList headers = {{"Content-Type", "text/html"}};
    for (const HeaderList& it : parts) {
      headers.insert(headers.end(), it.begin(), it.end());
    }
    return IsAnswerTo(DecodeAnswer(status, headers), RequestId("5a"), false);
  };
  for (const int status : {200, 201, 204, 206}) {
    CAPTURE(status);
    CHECK(is_answer(status, {id, stamp}));
    CHECK_FALSE(is_answer(status, {}));
    CHECK_FALSE(is_answer(status, {id}));
    CHECK_FALSE(is_answer(status, {stamp}));
    CHECK_FALSE(is_answer(status, {id, {{"Server-Stamp", ""}}}));
    CHECK_FALSE(is_answer(status, {{{"Request-Id", "other"}}, stamp}));
    CHECK_FALSE(is_answer(status, {id, {{"Request-Id", "other"}}, stamp}));
    CHECK_FALSE(is_answer(status, {id, stamp, {{"Content-Encoding", "gzip"}}}));
  }
  for (const int status : {302, 400, 404, 421, 500, 503}) {
    CAPTURE(status);
    CHECK(is_answer(status, {id}));
    CHECK_FALSE(is_answer(status, {}));
    CHECK(is_answer(status, {{{"Not-Executed", "1"}}}));
  }
}

TEST_CASE("only refusals that guarantee that nothing ran have status 503") {
  for (const auto type :
       {ForwardRefusalType::kNotReady, ForwardRefusalType::kLeaving,
        ForwardRefusalType::kBadRequest, ForwardRefusalType::kUnknownKey,
        ForwardRefusalType::kNoRoute, ForwardRefusalType::kOverloaded,
        ForwardRefusalType::kNoTarget, ForwardRefusalType::kTimeLimitBeforeSend,
        ForwardRefusalType::kTimeLimitAfterSend,
        ForwardRefusalType::kTargetFailed,
        ForwardRefusalType::kTargetDeclined}) {
    CHECK((ToHttpStatus(type) == 503) == GuaranteesNotRun(type));
  }
}

TEST_CASE("an engine's notice is decoded from any of its answers") {
  CHECK(DecodeNotice(200, {{"server-leaving", "1"}}).is_leaving);
  CHECK(DecodeNotice(503, {{"Server-Leaving", "1"}}).is_leaving);
  CHECK_FALSE(DecodeNotice(200, {{"Server-Leaving", "0"}}).is_leaving);
  CHECK_FALSE(DecodeNotice(200, {}).is_leaving);
  // Another engine has the address now, so the notice is not of the one called.
  CHECK_FALSE(DecodeNotice(421, {{"Server-Leaving", "1"}}).is_leaving);
}

TEST_CASE("an engine's wish for a pause is decoded from a refusal only") {
  const auto pause = [](int status, const std::string& value) {
    return DecodeNotice(status, {{"Retry-After", value}}).pause;
  };
  CHECK(pause(503, "3") == std::chrono::seconds(3));
  CHECK(pause(503, "0.25") == std::chrono::milliseconds(250));
  CHECK(pause(200, "3") == Duration::zero());
  for (const char* const it : {"-1", "nan", "soon", "3s", "", "-0.5",
                               "Fri, 04 Dec 2026 09:00:00 GMT"}) {
    CHECK(pause(503, it) == Duration::zero());
  }
  CHECK(pause(503, "1e300") == std::chrono::hours(24));
  CHECK(pause(503, "inf") == std::chrono::hours(24));
}

TEST_CASE("an answer without length and chunks ends with its connection") {
  CHECK(DecodeAnswer(200, {}).ends_with_connection);
  CHECK_FALSE(
      DecodeAnswer(200, {{"content-length", "0"}}).ends_with_connection);
  CHECK_FALSE(DecodeAnswer(200, {{"Transfer-Encoding", "chunked"}})
                  .ends_with_connection);
}

TEST_CASE("an engine's limit is decoded, and ends with an answer without it") {
  const auto notice = [](const std::string& value) {
    return DecodeNotice(200, {{"Request-Id", "9c"}, {"Server-Limit", value}},
                        AnswerKind::kRequest);
  };
  CHECK(notice("1.4").tells_limit);
  CHECK(notice("1.4").requests_per_second == 1.4);
  CHECK(notice("0").requests_per_second == 0.0);
  for (const char* const it : {"-1", "nan", "inf", "many", "2/s"}) {
    CHECK_FALSE(notice(it).tells_limit);
    CHECK_FALSE(notice(it).requests_per_second);
  }
  const HeaderList plain = {{"Request-Id", "9c"}};
  CHECK(DecodeNotice(200, plain, AnswerKind::kRequest).tells_limit);
  CHECK_FALSE(DecodeNotice(200, {}, AnswerKind::kRequest).tells_limit);
  CHECK_FALSE(DecodeNotice(200, plain, AnswerKind::kControl).tells_limit);
  CHECK(DecodeNotice(200, {{"Server-Limit", "2"}}, AnswerKind::kControl)
            .requests_per_second == 2.0);
  // Another engine has the address now.
  CHECK_FALSE(DecodeNotice(421, {{"Server-Limit", "2"}}, AnswerKind::kRequest)
                  .tells_limit);
}

}  // namespace
}  // namespace kingcupdrift::platform
