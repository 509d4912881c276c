#include "kingcupdrift/forwarding/sse_framer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

TEST_CASE("events are returned whole, wherever the bytes are split") {
  const std::string text = Event(0) + "id: 1\r\ndata: y\r\n\r\n" + Event(2);
  for (std::size_t split = 0; split <= text.size(); ++split) {
    SseFramer framer(std::nullopt);
    std::string out = *framer.Feed(text.substr(0, split));
    out += *framer.Feed(text.substr(split));
    CHECK(out == text);
    CHECK(framer.last_event_id() == 2);
    CHECK_FALSE(framer.HasPartialEvent());
  }
}

TEST_CASE(
    "a retry drops the unfinished event and the events that the caller has") {
  SseFramer framer(std::nullopt);
  CHECK(*framer.Feed(Event(0) + Event(1) + "id: 2\n") == Event(0) + Event(1));
  framer.StartAttempt();
  CHECK(*framer.Feed(Event(1) + Event(2)) == Event(2));
}

TEST_CASE("a retry that skips an event is an error") {
  SseFramer framer(std::nullopt);
  REQUIRE(framer.Feed(Event(0)));
  framer.StartAttempt();
  CHECK_FALSE(framer.Feed(Event(2)));
}

TEST_CASE("a caller that resumes a stream gets the events after its last one") {
  SseFramer framer(7);
  framer.StartAttempt();
  CHECK(*framer.Feed(Event(7) + Event(8)) == Event(8));
}

// Guards against an event that is lost, since it came together with bytes that
// end the attempt.
TEST_CASE("events that an error keeps back are expected again") {
  SseFramer framer(std::nullopt);
  REQUIRE(framer.Feed(Event(1)));
  CHECK_FALSE(framer.Feed(Event(2) + "broken\n\n"));
  CHECK(framer.last_event_id() == 1);
  framer.StartAttempt();
  CHECK(*framer.Feed(Event(2)) == Event(2));
}

TEST_CASE("an unfinished event above the size limit is an error") {
  SseFramer framer(std::nullopt);
  CHECK_FALSE(framer.Feed(std::string(SseFramer::kMaxEventBytes + 1, 'x')));
}

TEST_CASE("bytes that begin no line of an event stream are an error at once") {
  for (const std::string bytes :
       {"a", "a\n", "<html>", "dates", "\r\r", "x:"}) {
    CAPTURE(bytes);
    SseFramer framer(std::nullopt);
    CHECK_FALSE(framer.Feed(bytes));
  }
  for (const std::string bytes :
       {"d", "data", "data\r", "data:", ":", "\r", "re"}) {
    CAPTURE(bytes);
    SseFramer framer(std::nullopt);
    CHECK(framer.Feed(bytes));
  }
}

TEST_CASE("events before foreign bytes of an unfinished event are returned") {
  SseFramer framer(std::nullopt);
  CHECK(*framer.Feed(Event(0) + "bro") == Event(0));
  CHECK_FALSE(framer.Feed("ken"));
}

TEST_CASE("a line of a version may arrive byte by byte") {
  const std::string text = "weights: 12\ndata: x\n\n";
  SseFramer framer(std::nullopt, "weights");
  std::string out;
  for (const char c : text) {
    const auto events = framer.Feed(std::string(1, c));
    REQUIRE(events);
    out += *events;
  }
  CHECK(out == text);
}

/// Bytes that the framer looks at while `size` bytes arrive in small pieces.
std::uint64_t CountExaminedBytes(const std::string& unit,
                                 std::size_t piece_bytes,
                                 std::size_t size) {
  std::string stream;
  while (stream.size() < size) {
    stream += unit;
  }
  SseFramer framer(std::nullopt);
  for (std::size_t i = 0; i < size; i += piece_bytes) {
    REQUIRE(framer.Feed(stream.substr(i, std::min(piece_bytes, size - i))));
  }
  return framer.examined_bytes();
}

// Guards against an unfinished event that is searched from its start for each
// piece that arrives.
TEST_CASE("twice the bytes of an event take at most twice the work") {
  constexpr std::size_t kBytes = 20'000;
  for (const std::string unit :
       {":\n", "data: x\n", "data:x\n\n", ":xxxxxxxxx", "\r\n", "id: 1\r\n"}) {
    for (const std::size_t piece_bytes : {1, 2, 7, 1000}) {
      CAPTURE(unit);
      CAPTURE(piece_bytes);
      const std::uint64_t once = CountExaminedBytes(unit, piece_bytes, kBytes);
      CHECK(once >= kBytes);
      CHECK(CountExaminedBytes(unit, piece_bytes, 2 * kBytes) <=
            2 * once + unit.size());
    }
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
