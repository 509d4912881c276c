#include "kingcupdrift/api/completion_parser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcupdrift {
namespace {

SharedBytes Bytes(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

Result<CompletionCall> ParseText(std::string text) {
  return ParseCompletion(CompletionKind::kText, Bytes(std::move(text)));
}

Result<CompletionCall> ParseChat(std::string text) {
  return ParseCompletion(CompletionKind::kChat, Bytes(std::move(text)));
}

std::string Join(const BodySlices& slices) {
  std::string out;
  for (const BodySlice& it : slices) {
    out += it.bytes;
  }
  return out;
}

TEST_CASE("A text completion is read with its options [api]") {
  const auto call =
      ParseText(R"({"model":"glaze-1","prompt":"cone \"six\"","stream":true,)"
                R"("max_tokens":32,"temperature":0.2})");
  REQUIRE(call.has_value());
  CHECK(call->model == "glaze-1");
  CHECK(call->is_streaming);
  CHECK(call->max_output_tokens == TokenCount(32));
  CHECK(call->prompt_tokens == TokenCount(3));
  CHECK(call->block_digests.empty());
}

TEST_CASE("A chat completion is read from its messages [api]") {
  const auto call =
      ParseChat(R"( {"messages":[{"role":"user","content":"hi"}],"model":"m",)"
                R"("stream":null,"max_completion_tokens":7} )");
  REQUIRE(call.has_value());
  CHECK(call->kind == CompletionKind::kChat);
  CHECK(!call->is_streaming);
  CHECK(call->max_output_tokens == TokenCount(7));
}

TEST_CASE("Invalid bodies are refused [api]") {
  for (const char* const text : {
           "",
           "   ",
           "nonsense",
           "[]",
           "\"text\"",
           "{",
           R"({"model":"m","prompt":"x")",
           R"({"model":"m","prompt":"x"} trailing)",
           R"({"model":"m","prompt":"x"}{})",
           R"({"model":"m","prompt":"x})",
           R"({"model":"m" "prompt":"x"})",
           R"({"model":"m","prompt":"x","stream":truth})",
           R"({"model":"m","prompt":"x","stream":"true"})",
           R"({"model":"m","prompt":"x","stream":false,"stream":true})",
           R"({"model":"m","model":"n","prompt":"x"})",
           R"({"model":"m","prompt":"x","str\u0065am":1})",
           R"({"model":"m","prompt":"x","continuation":{}})",
           R"({"model":"m","prompt":"x","max_tokens":0})",
           R"({"model":"m","prompt":"x","max_tokens":-5})",
           R"({"model":"m","prompt":"x","max_tokens":1.5})",
           R"({"model":"m","prompt":"x","max_tokens":99999999999999999999})",
           R"({"model":"m","prompt":"x","max_tokens":"7"})",
           R"({"model":"m","prompt":"x","n":2})",
           R"({"model":"m","prompt":7})",
           R"({"model":"m","prompt":""})",
           R"({"model":"m"})",
           R"({"model":"","prompt":"x"})",
           R"({"model":7,"prompt":"x"})",
           R"({"prompt":"x"})",
           "{\"model\":\"m\",\"prompt\":\"\xff\xfe\"}",
       }) {
    CAPTURE(text);
    const auto call = ParseText(text);
    REQUIRE(!call.has_value());
    CHECK(call.error().code == ErrorCode::kInvalidArgument);
  }
  CHECK(
      !ParseText(R"({"prompt":"x","model":")" + std::string(300, 'm') + "\"}"));
  CHECK(!ParseChat(R"({"model":"m","messages":"x"})"));
  CHECK(!ParseChat(R"({"model":"m","messages":[]})"));
}

TEST_CASE("Deep nesting and too many members are refused [api]") {
  const std::string deep(100'000, '[');
  CHECK(!ParseChat(R"({"model":"m","messages":)" + deep));
  std::string many = R"({"model":"m","prompt":"x")";
  for (int i = 0; i < 1000; ++i) {
    many += ",\"k" + std::to_string(i) + "\":1";
  }
  CHECK(!ParseText(many + "}"));
}

TEST_CASE("Equal prefixes have equal block digests [api]") {
  const std::string shared(3 * kPromptBlockBytes, 'a');
  const auto first = ComputeBlockDigests(shared + "tail");
  const auto second =
      ComputeBlockDigests(shared + std::string(kPromptBlockBytes, 'b'));
  REQUIRE(first.size() == 3);
  REQUIRE(second.size() == 4);
  CHECK(std::equal(first.begin(), first.end(), second.begin()));
  CHECK(first[0] != first[1]);
}

TEST_CASE("An engine body sets stream and keeps the other members [api]") {
  const std::string text =
      R"({"model":"m", "stream" : false ,"prompt":"x","user":{"stream":false}})";
  const auto body = MakeEngineBody(Bytes(text), {});
  REQUIRE(body.has_value());
  CHECK(
      Join(*body) ==
      R"({"model":"m", "stream" : true ,"prompt":"x","user":{"stream":false}})");
  const auto added = MakeEngineBody(Bytes(R"({"prompt":"x"} )"), {});
  CHECK(Join(*added) == R"({"prompt":"x","stream":true})");
  CHECK(Join(*MakeEngineBody(Bytes("{}"), {})) == R"({"stream":true})");
  CHECK(!MakeEngineBody(Bytes("[]"), {}));
}

TEST_CASE("A continuation is added as a JSON member [api]") {
  const auto body = MakeEngineBody(Bytes(R"({"prompt":"x","stream":true})"),
                                   {"say \"yes\"\n", 12});
  REQUIRE(body.has_value());
  const auto parsed = nlohmann::json::parse(Join(*body));
  CHECK(parsed["continuation"]["text"] == "say \"yes\"\n");
  CHECK(parsed["continuation"]["offset"] == 12);
  CHECK(parsed["stream"] == true);
}

TEST_CASE("A large body is referenced, not copied [api]") {
  const SharedBytes body = Bytes(R"({"model":"m","stream":false,"prompt":")" +
                                 std::string(5'000'000, 'p') + "\"}");
  const auto slices = MakeEngineBody(body, {});
  REQUIRE(slices.has_value());
  std::size_t copied = 0;
  for (const BodySlice& it : *slices) {
    copied += it.owner == body ? 0 : it.bytes.size();
  }
  CHECK(copied < 16);
}

TEST_CASE("An engine body of any object keeps its members [api]") {
  CHECK(rc::check("the engine body parses to the same members", [] {
    nlohmann::json object = {{"model", "m"}};
    const auto count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
      const auto key = "k" + std::to_string(i);
      object[key] =
          *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
    }
    if (*rc::gen::arbitrary<bool>()) {
      object["stream"] = *rc::gen::arbitrary<bool>();
    }
    const int indent = *rc::gen::inRange(-1, 4);
    const auto body = MakeEngineBody(Bytes(object.dump(indent)), {});
    RC_ASSERT(body.has_value());
    object["stream"] = true;
    RC_ASSERT(nlohmann::json::parse(Join(*body)) == object);
  }));
}

TEST_CASE("Truncated and altered bodies never crash the parser [api]") {
  const std::string whole =
      R"({"model":"m","stream":true,"prompt":"a\u00e9b","x":[1,{"y":null}]})";
  CHECK(rc::check("a damaged body gives a value or kInvalidArgument", [&] {
    std::string text =
        whole.substr(0, *rc::gen::inRange<std::size_t>(0, whole.size() + 1));
    if (!text.empty()) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
    }
    const auto call = ParseText(text);
    RC_ASSERT(call.has_value() ||
              call.error().code == ErrorCode::kInvalidArgument);
    const auto body = MakeEngineBody(Bytes(text), {});
    RC_ASSERT(body.has_value() ||
              body.error().code == ErrorCode::kInvalidArgument);
  }));
}

}  // namespace
}  // namespace kingcupdrift
