#include "platform/internal/json_repair.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupdrift::platform {
namespace {

TEST_CASE("only what can't be read is removed") {
  const auto repair = [](const std::string& text) {
    return RepairJson(text).value_or("(unreadable)");
  };
  CHECK(repair(R"({"a":[1,2]})") == R"({"a":[1,2]})");
  CHECK(repair(R"( {"a" : "\q", "b" : 2 } )") == R"({"b":2})");
  CHECK(repair(R"([1,"\ud800",{"a":nul},[01],3])") == "[1,null,{},[null],3]");
  CHECK(repair(R"({"a":[{"b":"\ud800","c":[2,1e999]}]})") ==
        R"({"a":[{"c":[2,null]}]})");
  CHECK(repair("{\"a\":\"\xff\",\"b\":\"]},\\\"\"}") == R"({"b":"]},\""})");
  CHECK(repair("[" + std::string(99, '[') + std::string(99, ']') + ",7]") ==
        "[[[[null]]],7]");
}

// Guards against a listing that can't go on after a page, since the key of its
// last item is no text.
TEST_CASE("a key that is no text is kept under another name") {
  CHECK(RepairJson(R"([{"key":"a\ud800b","revision":3}])") ==
        R"([{"unreadable_key":"a\ufffdb","revision":3}])");
  CHECK(RepairJson(R"([{"key":"\udfff\\ud800\ud83d\ude00\uDBFF"}])") ==
        R"([{"unreadable_key":"\ufffd\\ud800\ud83d\ude00\ufffd"}])");
  CHECK(RepairJson(R"([{"key":"\ud800\u12","revision":3}])") ==
        R"([{"revision":3}])");
}

TEST_CASE("a text whose brackets or quotes don't match stays unreadable") {
  for (const char* const text :
       {"", " ", "[", "{", "[1", "{\"a\":", "{\"a\":1", "{\"a\"}", "{1:2}",
        "[1 2]", "[,1]", "[1]]", "[1] x", "\"a", "\"a\\", "nul", "}"}) {
    CAPTURE(text);
    CHECK_FALSE(RepairJson(text));
  }
}

}  // namespace
}  // namespace kingcupdrift::platform
