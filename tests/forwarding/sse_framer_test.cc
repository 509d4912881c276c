#include "kingcupdrift/forwarding/sse_framer.h"

#include <doctest/doctest.h>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

TEST_CASE("events come out whole, wherever the bytes are cut") {
  const std::string text = Event(0) + "id: 1\r\ndata: y\r\n\r\n" + Event(2);
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    SseFramer framer(std::nullopt);
    std::string out = *framer.Feed(text.substr(0, cut));
    out += *framer.Feed(text.substr(cut));
    CHECK(out == text);
    CHECK(framer.last_event_id() == 2);
    CHECK_FALSE(framer.HasPartialEvent());
  }
}

TEST_CASE(
    "a later run drops what the caller has and the torn event before it") {
  SseFramer framer(std::nullopt);
  CHECK(*framer.Feed(Event(0) + Event(1) + "id: 2\n") == Event(0) + Event(1));
  framer.StartAttempt();
  CHECK(*framer.Feed(Event(1) + Event(2)) == Event(2));
}

TEST_CASE("a run that leaves out an event is refused") {
  SseFramer framer(std::nullopt);
  REQUIRE(framer.Feed(Event(0)));
  framer.StartAttempt();
  CHECK_FALSE(framer.Feed(Event(2)));
}

TEST_CASE("a caller that comes back has the events up to its last one") {
  SseFramer framer(7);
  framer.StartAttempt();
  CHECK(*framer.Feed(Event(7) + Event(8)) == Event(8));
}

TEST_CASE("an event without end is refused") {
  SseFramer framer(std::nullopt);
  CHECK_FALSE(framer.Feed(std::string(SseFramer::kMaxEventBytes + 1, 'x')));
}

}  // namespace
}  // namespace kingcupdrift::fakes
