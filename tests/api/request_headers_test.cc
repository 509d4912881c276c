#include "kingcupdrift/api/request_headers.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Caller headers are found in upper and lower case [api]") {
  const auto context = ParseCallerContext({{"authorization", "bearer secret"},
                                           {"request-timeout", "2.5"},
                                           {"IDEMPOTENCY-KEY", "order-17"}});
  REQUIRE(context.has_value());
  CHECK(context->workspace_token == "secret");
  CHECK(context->time_limit == milliseconds(2500));
  CHECK(context->idempotency_key == "order-17");
}

TEST_CASE("Malformed and non-positive time limits are refused [api]") {
  for (const char* const text :
       {"0", "-1", "0.0", "nan", "inf", "-inf", "1e5", "0x10", "abc", "1s",
        " 1", "1,5", ".", "1.2.3", "99999999999999999999999999999999999"}) {
    CAPTURE(text);
    const auto context = ParseCallerContext({{"Request-Timeout", text}});
    REQUIRE(!context.has_value());
    CHECK(context.error().code == ErrorCode::kInvalidArgument);
  }
}

TEST_CASE("Long time limits are reduced and short ones stay above zero [api]") {
  CHECK(ParseCallerContext({{"Request-Timeout", "99999999999999999999"}})
            ->time_limit == kLongestTimeLimit);
  CHECK(ParseCallerContext({{"Request-Timeout", "0.0000000001"}})->time_limit ==
        Duration(1));
}

TEST_CASE("Long or malformed idempotency keys and tokens are refused [api]") {
  CHECK(ParseCallerContext({{"Idempotency-Key", std::string(255, 'k')}}));
  CHECK(!ParseCallerContext({{"Idempotency-Key", std::string(256, 'k')}}));
  CHECK(!ParseCallerContext({{"Idempotency-Key", "with space"}}));
  CHECK(!ParseCallerContext({{"Idempotency-Key", "caf\xc3\xa9"}}));
  CHECK(!ParseCallerContext(
      {{"Authorization", "Bearer " + std::string(600, 't')}}));
  CHECK(ParseCallerContext({{"Authorization", "Basic abc"}})
            ->workspace_token.empty());
}

TEST_CASE("A resume request needs a token and a whole event ID [api]") {
  CHECK(!ParseResumeCall({}));
  CHECK(ParseResumeCall({{"Resume-Token", "t"}})->received_tokens == 0);
  CHECK(ParseResumeCall({{"Resume-Token", "t"}, {"Last-Event-ID", "42"}})
            ->received_tokens == 42);
  for (const char* const text : {"-1", "4x", "1.5", "99999999999999999999"}) {
    CAPTURE(text);
    CHECK(!ParseResumeCall({{"Resume-Token", "t"}, {"Last-Event-ID", text}}));
  }
}

}  // namespace
}  // namespace kingcupdrift
