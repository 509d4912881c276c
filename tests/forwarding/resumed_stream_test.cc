// Streams that broke off, and second engines that answer something else than
// their continuation.

#include <doctest/doctest.h>

#include <string>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

/// A stream that broke off after its first event, and its second attempt.
struct BrokenStream : ForwardingHarness {
  BrokenStream() {
    AddEngines(3);
    caller = Handle(Prompt(5000));
    Stream(0, Event(1));
    Fail(0, ErrorCode::kConnectionLost);
    REQUIRE(targets.sends.size() == 2);
  }

  void Answer(int status, bool has_other_media_type, const std::string& body) {
    TargetResponseHead head;
    head.status = status;
    head.request = send(1).request;
    head.is_signed = true;
    head.has_other_media_type = has_other_media_type;
    send(1).observer->OnResponseHead(head);
    if (send(1).observer != nullptr) {
      send(1).observer->OnBytes(body);
    }
    if (send(1).observer != nullptr) {
      send(1).observer->OnEnd();
    }
  }

  /// The caller has the first event, and sees an answer that is not complete.
  bool IsIncomplete() const {
    return caller->bytes == Event(1) && !caller->has_ended && !caller->reply;
  }

  std::shared_ptr<CallerRecord> caller;
};

// Guards against an error's text, or its head, in the middle of a stream.
TEST_CASE("an error that answers a resumed stream does not reach the caller") {
  const std::string text = "the engine is broken\n\n";
  const std::string head = "HTTP/1.1 500 Failed\r\nServer: s\r\n\r\n";
  for (const int status : {200, 404, 500, 502}) {
    for (const std::string& body : {text, head + text, std::string()}) {
      CAPTURE(status);
      CAPTURE(body);
      BrokenStream stream;
      stream.Answer(status, true, body);
      CHECK(stream.IsIncomplete());
    }
  }
}

// Guards against the same text from an engine that calls it a stream, or does
// not say what it is.
TEST_CASE("bytes that are no events do not reach the caller") {
  for (const std::string& bytes :
       {std::string("{\"error\":\"broken\"}\n\n"),
        std::string("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n\r\nbusy\n\n")}) {
    CAPTURE(bytes);
    BrokenStream resumed;
    resumed.Answer(200, false, bytes);
    CHECK(resumed.IsIncomplete());
    BrokenStream later;
    later.Answer(200, false, Event(2) + bytes);
    CHECK(later.IsIncomplete());
  }
}

TEST_CASE("an error that answers a resumed stream is followed by an attempt") {
  ForwardingHarness harness;
  ServingConfig config = ForwardingHarness::Config();
  config.version = Generation(2);
  for (RouteRule& it : config.routes) {
    it.max_attempts = 3;
  }
  harness.forwarder->ApplyConfig(config);
  harness.AddEngines(3);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
  harness.Stream(0, Event(1));
  harness.Fail(0, ErrorCode::kConnectionLost);
  REQUIRE(harness.targets.sends.size() == 2);
  TargetResponseHead head;
  head.status = 500;
  head.request = harness.send(1).request;
  head.is_signed = true;
  harness.send(1).observer->OnResponseHead(head);
  harness.send(1).observer->OnEnd();
  REQUIRE(harness.targets.sends.size() == 3);
  CHECK(harness.send(2).last_event_id == 1);
  harness.Stream(2, Event(2));
  harness.send(2).observer->OnEnd();
  CHECK(caller->has_ended);
  CHECK(caller->bytes == Event(1) + Event(2));
}

// Guards against a stream that begins anew in the middle of an answer, since
// nothing says how far the caller has read.
TEST_CASE("a stream without numbers is not resumed once it has begun") {
  ForwardingHarness harness;
  harness.AddEngines(2);
  const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
  harness.Stream(0, "data: a\n\n");
  harness.Fail(0, ErrorCode::kConnectionLost);
  CHECK(harness.targets.sends.size() == 1);
  CHECK(caller->is_aborted);
  CHECK(caller->bytes == "data: a\n\n");
  // Comments are no content.
  const auto other = harness.Handle(ForwardingHarness::Prompt(5000));
  harness.Stream(1, ": wait\n\n" + Event(1));
  harness.Fail(1, ErrorCode::kConnectionLost);
  CHECK(harness.targets.sends.size() == 3);
}

}  // namespace
}  // namespace kingcupdrift::fakes
