#include "kingcupdrift/api/resume_token.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <string>

namespace kingcupdrift {
namespace {

constexpr WallTime kNow{std::chrono::hours(1)};

ResumeToken Sample() {
  ResumeToken token;
  token.engine = EngineId("e1");
  token.service = ServiceId("s");
  token.attempt = AttemptId("a");
  token.request = RequestId("r");
  token.workspace = WorkspaceId("w");
  token.kind = CompletionKind::kChat;
  token.model = "m";
  token.prompt_tokens = TokenCount(12);
  token.expiry = kNow + std::chrono::seconds(1);
  return token;
}

TEST_CASE("A decoded resume token equals the encoded one [api]") {
  const auto token =
      DecodeResumeToken(EncodeResumeToken(Sample(), "key"), "key", kNow);
  REQUIRE(token.has_value());
  CHECK(token->engine == EngineId("e1"));
  CHECK(token->service == ServiceId("s"));
  CHECK(token->attempt == AttemptId("a"));
  CHECK(token->request == RequestId("r"));
  CHECK(token->workspace == WorkspaceId("w"));
  CHECK(token->kind == CompletionKind::kChat);
  CHECK(token->model == "m");
  CHECK(token->prompt_tokens == TokenCount(12));
  CHECK(token->expiry == Sample().expiry);
}

TEST_CASE("Expired tokens and tokens of another secret are refused [api]") {
  const std::string text = EncodeResumeToken(Sample(), "key");
  CHECK(DecodeResumeToken(text, "other", kNow).error().code ==
        ErrorCode::kUnauthorized);
  CHECK(!DecodeResumeToken(text, "key", Sample().expiry));
  CHECK(!DecodeResumeToken("", "key", kNow));
  CHECK(!DecodeResumeToken(".", "key", kNow));
  CHECK(!DecodeResumeToken(std::string(5000, 'x'), "key", kNow));
}

TEST_CASE("No altered resume token is accepted [api]") {
  const std::string text = EncodeResumeToken(Sample(), "key");
  CHECK(rc::check("a token with one changed byte is refused", [&] {
    std::string altered = text;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    altered[at] = *rc::gen::arbitrary<char>();
    RC_PRE(altered != text);
    RC_ASSERT(!DecodeResumeToken(altered, "key", kNow));
  }));
  CHECK(rc::check("a truncated token is refused", [&] {
    const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!DecodeResumeToken(text.substr(0, size), "key", kNow));
  }));
}

TEST_CASE("Random bytes are refused as a resume token [api]") {
  CHECK(rc::check("random text is refused", [](const std::string& text) {
    RC_ASSERT(!DecodeResumeToken(text, "key", kNow));
  }));
}

}  // namespace
}  // namespace kingcupdrift
