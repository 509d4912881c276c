#include "platform/internal/json_repair.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupdrift::platform {
namespace {

/// The list of an answer, of which only the list is repaired.
std::string RepairList(const std::string& list) {
  const std::string begin = R"({"at":9,"items":)";
  const auto answer = RepairAnswer(begin + list + "}");
  if (!answer || !answer->starts_with(begin) || !answer->ends_with('}')) {
    return "(unreadable)";
  }
  return answer->substr(begin.size(), answer->size() - begin.size() - 1);
}

TEST_CASE("only what can't be read of items is removed") {
  CHECK(RepairList("[1,2]") == "[1,2]");
  CHECK(RepairList(R"([ {"a" : "\q", "b" : 2 } , 3])") == R"([{"b":2},3])");
  CHECK(RepairList(R"([1,"\ud800",{"a":nul},[01],3])") ==
        "[1,null,{},[null],3]");
  CHECK(RepairList(R"([{"b":"\ud800","c":[2,1e999]}])") ==
        R"([{"c":[2,null]}])");
  CHECK(RepairList("[{\"a\":\"\xff\",\"b\":\"]},\\\"\"}]") ==
        R"([{"b":"]},\""}])");
  CHECK(RepairList("[" + std::string(99, '[') + std::string(99, ']') + ",7]") ==
        "[[[[null]]],7]");
}

// Guards against a page that looks like the last one, since the member that
// says otherwise is left out.
TEST_CASE("an answer with a member of its own that can't be read is rejected") {
  for (const char* const text :
       {R"({"items":["\ud800"],"has_more":tru})", R"({"items":[],"at":1e999})",
        R"({"items":[],"\ud800":1})", R"({"items":"\ud800"})"}) {
    CAPTURE(text);
    CHECK_FALSE(RepairAnswer(text));
  }
}

// Guards against a listing that can't go on after a page, since the key of its
// last item is no text.
TEST_CASE("a key that is no text is kept under another name") {
  CHECK(RepairList(R"([{"key":"a\ud800b","revision":3}])") ==
        R"([{"unreadable_key":"a\ufffdb","revision":3}])");
  CHECK(RepairList(R"([{"key":"\udfff\\ud800\ud83d\ude00\uDBFF"}])") ==
        R"([{"unreadable_key":"\ufffd\\ud800\ud83d\ude00\ufffd"}])");
  CHECK(RepairList(R"([{"key":"\ud800\u12","revision":3}])") ==
        R"([{"revision":3}])");
}

TEST_CASE("a text whose brackets or quotes don't match is rejected") {
  for (const char* const text :
       {"", " ", "[", "{", "[1]", "{\"a\":", "{\"a\":1", "{\"a\"}", "{1:2}",
        "{\"a\":[1 2]}", "{\"a\":[,1]}", "{\"a\":[1]]}", "{} x", "\"a",
        "{\"a\":[\"a\\]}", "nul", "}"}) {
    CAPTURE(text);
    CHECK_FALSE(RepairAnswer(text));
  }
}

}  // namespace
}  // namespace kingcupdrift::platform
