// Answers of the platform's store that hold what other writers wrote there.

#include "platform/internal/store_answer.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/internal/field_reader.h"

namespace kingcupdrift::platform {
namespace {

/// Keys and values of items, in order; deletions without a value.
using Listed = std::vector<std::pair<std::string, std::optional<std::string>>>;

HttpResponse MakeResponse(std::string body) {
  HttpResponse response;
  response.status = 200;
  response.body = std::make_shared<const std::string>(std::move(body));
  return response;
}

std::string MakeItem(const std::string& key, int revision) {
  // "dg==" is "v" in base64.
  return R"({"key":")" + key + R"(","value":"dg==","revision":)" +
         std::to_string(revision) + "}";
}

/// What a reader takes from the list `items` of an answer.
std::optional<Listed> ReadItems(StoreAnswerReader& reader,
                                const std::string& body) {
  const auto answer = reader.Read(CallKind::kRead, MakeResponse(body));
  if (!answer) {
    return std::nullopt;
  }
  FieldReader fields(answer->body.root(), "an answer");
  Listed listed;
  for (const JsonValue it : fields.ReadList("items")) {
    if (auto event = reader.ReadListedEvent(it)) {
      std::optional<std::string> value;
      if (event->value) {
        value = event->value->value;
      }
      listed.emplace_back(std::move(event->key), std::move(value));
    }
  }
  if (!fields.Check()) {
    return std::nullopt;
  }
  return listed;
}

// Guards against an item of another writer that makes the whole answer
// unreadable, so that an entry does not start or follows no change after it.
TEST_CASE("an item that is no valid JSON costs no other item") {
  const std::string deep(40'000, '[');
  const std::vector<std::string> odd_items = {
      MakeItem("servers/\\ud800", 3),
      MakeItem("servers/\\udc00", 3),
      MakeItem("servers/\\ud83d\\ud83d", 3),
      MakeItem("servers/\\ud83dx", 3),
      MakeItem("servers/\\q", 3),
      MakeItem("servers/\\u12", 3),
      MakeItem("servers/\xff", 3),
      MakeItem("servers/\xed\xa0\x80", 3),
      MakeItem("servers/\n", 3),
      R"({"key":"o","value":"dg==","revision":)" + std::string(400, '9') + "}",
      R"({"key":"o","value":"dg==","revision":1e999})",
      R"({"key":"o","value":"dg==","revision":00012})",
      R"({"key":"o","value":"dg==","revision":nul})",
      R"({"key":)" + deep + std::string(deep.size(), ']') + "}",
      deep + std::string(deep.size(), ']'),
      R"({"\ud800":1})",
      "tru",
      "NaN"};
  for (const std::string& odd : odd_items) {
    CAPTURE(odd.substr(0, 60));
    const std::string first = MakeItem("a", 4);
    const std::string second = MakeItem("b", 5);
    const std::vector<std::string> bodies = {
        fmt::format("{},{},{}", odd, first, second),
        fmt::format("{},{},{}", first, odd, second),
        fmt::format("{},{},{}", first, second, odd),
        fmt::format("{0},{1},{0},{2}", odd, first, second)};
    for (std::size_t i = 0; i < bodies.size(); ++i) {
      CAPTURE(i);
      StoreAnswerReader reader;
      const auto listed =
          ReadItems(reader, R"({"items":[)" + bodies[i] + R"(],"at":9})");
      REQUIRE(listed);
      CHECK(*listed == Listed{{"a", "v"}, {"b", "v"}});
      CHECK(reader.faults().items == (i == 3 ? 2 : 1));
      CHECK(reader.faults().answers == 0);
    }
  }
}

// Guards against a value that stays in use although nobody can read what has
// replaced it.
TEST_CASE("an item with a key and no readable value counts as deleted") {
  StoreAnswerReader reader;
  const auto listed = ReadItems(
      reader,
      R"({"items":[{"key":"a","value":"\ud800","revision":3}],"at":3})");
  CHECK(listed == Listed{{"a", std::nullopt}});
}

TEST_CASE("an answer that can't be read is counted") {
  for (const std::string body : {"x", "{", "{\"items\":[", "[]}"}) {
    CAPTURE(body);
    StoreAnswerReader reader;
    const auto answer = reader.Read(CallKind::kRead, MakeResponse(body));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ErrorCode::kProtocol);
    CHECK(reader.faults().answers == 1);
  }
}

/// Leaves out the log lines of thousands of odd items.
struct QuietLog {
  QuietLog() { SetLogLevel(LogLevel::kError); }
  ~QuietLog() { SetLogLevel(LogLevel::kInfo); }
};

/// Deterministic random texts of what another writer may leave in an item.
class OddText {
 public:
  explicit OddText(std::uint64_t seed) : random_(seed) {}

  std::size_t Draw(std::size_t below) { return random_.Next() % below; }

  /// The inside of a string: any bytes and escapes but an unescaped quote.
  std::string MakeString() {
    std::string out;
    for (std::size_t i = Draw(8); i > 0; --i) {
      const auto byte = static_cast<char>(Draw(256));
      switch (Draw(4)) {
        case 0:
          out += std::string("\\u") + kHexDigits[Draw(16)] +
                 kHexDigits[Draw(16)] + kHexDigits[Draw(16)] +
                 kHexDigits[Draw(16)];
          break;
        case 1:
          out += std::string("\\") + byte;
          break;
        default:
          out += byte == '"' || byte == '\\' ? 'x' : byte;
      }
    }
    return out;
  }

  std::string MakeValue(int depth) {
    switch (Draw(depth > 0 ? 6 : 4)) {
      case 0:
        return "\"" + MakeString() + "\"";
      case 1:
        return std::string(1 + Draw(400), '9') + (Draw(2) == 0 ? "e9" : "");
      case 2:
        return "-0.e+" + std::to_string(Draw(1000));
      case 3:
        return "word";
      case 4:
        return "[" + MakeValue(depth - 1) + "," + MakeValue(depth - 1) + "]";
      default:
        return "{\"" + MakeString() + "\":" + MakeValue(depth - 1) + "}";
    }
  }

  std::string MakeItem() {
    std::string out = "{\"key\":\"odd/" + MakeString() + "\"";
    for (const char* const name : {"value", "revision", "deleted"}) {
      if (Draw(3) != 0) {
        out += std::string(",\"") + name + "\":" + MakeValue(3);
      }
    }
    return Draw(4) == 0 ? MakeValue(5) : out + "}";
  }

 private:
  static constexpr std::string_view kHexDigits = "0123456789abcDEF";
  SeededRandom random_;
};

// Guards against forms of odd items that no list of them names.
TEST_CASE("random odd items cost no sound item") {
  const QuietLog quiet;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    CAPTURE(seed);
    OddText odd(seed);
    std::string body;
    Listed sound;
    for (int i = 0; i < 6; ++i) {
      const bool is_sound = odd.Draw(2) == 0;
      const std::string key = "sound-" + std::to_string(i);
      body +=
          (i == 0 ? "" : ",") + (is_sound ? MakeItem(key, 4) : odd.MakeItem());
      if (is_sound) {
        sound.emplace_back(key, "v");
      }
    }
    StoreAnswerReader reader;
    auto listed = ReadItems(reader, R"({"items":[)" + body + R"(],"at":9})");
    REQUIRE(listed);
    std::erase_if(*listed, [](const auto& it) {
      return !it.first.starts_with("sound-");
    });
    CHECK(*listed == sound);
  }
}

// Guards against reads beyond an answer that was cut or changed on its way.
TEST_CASE("random damage of an answer ends no process") {
  const QuietLog quiet;
  const std::string body = R"({"items":[)" + MakeItem("a\\ud800", 3) + "," +
                           MakeItem("b", 4) + R"(],"has_more":false,"at":9})";
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    SeededRandom random(seed);
    std::string damaged = body.substr(0, random.Next() % body.size() + 1);
    for (std::uint64_t i = random.Next() % 4; i > 0; --i) {
      damaged[random.Next() % damaged.size()] =
          static_cast<char>(random.Next() % 256);
    }
    StoreAnswerReader reader;
    ReadItems(reader, damaged);
  }
}

}  // namespace
}  // namespace kingcupdrift::platform
