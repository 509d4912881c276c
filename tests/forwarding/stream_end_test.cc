// Ends of streams whose answers have neither a length nor chunks, so that their
// connection's end is the only one.

#include <doctest/doctest.h>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

TEST_CASE("a stream that ends after a whole event is complete") {
  ForwardingHarness harness;
  harness.AddEngines(2);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
  harness.Stream(0, Event(1) + Event(2));
  harness.send(0).observer->OnEnd();
  CHECK(caller->has_ended);
  CHECK(caller->bytes == Event(1) + Event(2));
  CHECK(harness.targets.sends.size() == 1);
}

// Guards against streams that look whole although their engine stopped in the
// middle of an event.
TEST_CASE("a stream that ends inside an event goes on at another engine") {
  const std::string next = Event(2);
  for (std::size_t cut = 1; cut < next.size(); ++cut) {
    CAPTURE(cut);
    ForwardingHarness harness;
    harness.AddEngines(2);
    const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
    harness.Stream(0, Event(1) + next.substr(0, cut));
    harness.send(0).observer->OnEnd();
    CHECK_FALSE(caller->IsOver());
    REQUIRE(harness.targets.sends.size() == 2);
    CHECK(harness.send(1).target.id != harness.send(0).target.id);
    CHECK(harness.send(1).last_event_id == 1);
    harness.Stream(1, Event(2) + Event(3));
    harness.send(1).observer->OnEnd();
    CHECK(caller->has_ended);
    CHECK(caller->bytes == Event(1) + Event(2) + Event(3));
  }
}

TEST_CASE("a stream that ends inside an event is aborted without a retry") {
  ForwardingHarness harness;
  harness.AddEngines(1);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
  harness.Stream(0, Event(1) + "id: 2\ndata: half");
  harness.send(0).observer->OnEnd();
  CHECK(caller->is_aborted);
  CHECK_FALSE(caller->has_ended);
  CHECK(caller->bytes == Event(1));
}

// The caller must not take the end of its connection for that of the answer.
TEST_CASE("a stream that ends inside its first event is no answer") {
  ForwardingHarness harness;
  harness.AddEngines(1);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
  harness.Stream(0, "id: 1\ndata: half");
  harness.send(0).observer->OnEnd();
  REQUIRE(caller->refusal);
  CHECK_FALSE(GuaranteesNotRun(caller->refusal->type));
  CHECK_FALSE(caller->stream_status);
}

// Guards against an engine that crashes before its first event and whose
// connection ends as that of a whole answer would.
TEST_CASE(
    "a stream that ends with its connection before any event is no answer") {
  ForwardingHarness harness;
  harness.AddEngines(2);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
  const auto end_at_once = [&](std::size_t i, bool ends_with_connection) {
    TargetResponseHead head;
    head.status = 200;
    head.request = harness.send(i).request;
    head.is_signed = true;
    head.ends_with_connection = ends_with_connection;
    harness.send(i).observer->OnResponseHead(head);
    harness.send(i).observer->OnEnd();
  };
  end_at_once(0, true);
  CHECK_FALSE(caller->IsOver());
  REQUIRE(harness.targets.sends.size() == 2);
  // Chunks tell their end.
  end_at_once(1, false);
  CHECK(caller->has_ended);
}

// Guards against a resumed stream that looks whole although its second engine
// stopped right after the head of its answer.
TEST_CASE("a resumed stream ends as complete only if its engine says so") {
  for (const bool is_resumed_by_caller : {false, true}) {
    for (const bool ends_with_connection : {false, true}) {
      CAPTURE(is_resumed_by_caller);
      CAPTURE(ends_with_connection);
      ForwardingHarness harness;
      ServingConfig config = ForwardingHarness::Config();
      config.version = Generation(2);
      for (RouteRule& it : config.routes) {
        it.max_attempts = 3;
      }
      harness.forwarder->ApplyConfig(config);
      harness.AddEngines(3);
      ForwardCall call = ForwardingHarness::Prompt(5000);
      if (is_resumed_by_caller) {
        call.last_event_id = 7;
      }
      const auto caller = harness.Handle(std::move(call));
      std::size_t next = 0;
      if (!is_resumed_by_caller) {
        harness.Stream(next, Event(1) + Event(2));
        harness.Fail(next++, ErrorCode::kConnectionLost);
      }
      REQUIRE(harness.targets.sends.size() == next + 1);
      const auto end_after_head = [&](std::size_t i) {
        TargetResponseHead head;
        head.status = 200;
        head.request = harness.send(i).request;
        head.is_signed = true;
        head.ends_with_connection = ends_with_connection;
        harness.send(i).observer->OnResponseHead(head);
        harness.send(i).observer->OnEnd();
      };
      end_after_head(next);
      // A resumed stream may have no further event.
      CHECK(caller->has_ended == !ends_with_connection);
      if (!ends_with_connection) {
        continue;
      }
      // Another attempt while there is one, else an end that looks incomplete.
      while (harness.targets.sends.size() > next + 1) {
        CHECK_FALSE(caller->IsOver());
        end_after_head(++next);
      }
      CHECK(next > (is_resumed_by_caller ? 0U : 1U));
      CHECK(caller->IsOver());
      CHECK_FALSE(caller->has_ended);
      CHECK(caller->is_aborted == !is_resumed_by_caller);
      if (is_resumed_by_caller) {
        REQUIRE(caller->refusal);
        CHECK_FALSE(GuaranteesNotRun(caller->refusal->type));
      }
    }
  }
}

// Guards against memory that grows with what a faulty engine sends.
TEST_CASE("an event or an answer that never ends is broken off") {
  const std::string bytes(100'000, 'x');
  ForwardingHarness harness;
  harness.AddEngines(1);
  harness.AddPlainTargets(1);
  harness.Handle(ForwardingHarness::Prompt(5000));
  harness.Handle(ForwardingHarness::Call("/once/x"));
  harness.Stream(0, Event(1) + "data: ");
  harness.Stream(1, "start");
  for (const std::size_t i : {0U, 1U}) {
    std::size_t sent = 0;
    while (harness.send(i).observer != nullptr && sent < 100'000'000) {
      harness.send(i).observer->OnBytes(bytes);
      sent += bytes.size();
    }
    CHECK(harness.send(i).observer == nullptr);
    CHECK(sent <= 10'000'000);
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
