// Bytes that a faulty engine sends in place of its answer, and every kind of
// answer that sound engines and other entries give.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

enum class Sender { kEngine, kEntry };

/// A head of some bytes that are no answer to the request.
struct ForeignHead {
  std::string name;
  RequestId request;
  bool is_signed = false;
  bool is_encoded = false;
};

std::vector<ForeignHead> ListForeignHeads() {
  return {{"no ID, no signature", RequestId(), false},
          {"no ID", RequestId(), true},
          {"no signature", RequestId("request"), false},
          {"another ID", RequestId("another"), true},
          {"the ID twice", RequestId("request, request"), true},
          {"an encoded body", RequestId("request"), true, true}};
}

TargetResponseHead MakeHead(int status, const ForeignHead& foreign) {
  TargetResponseHead head;
  head.status = status;
  head.request = foreign.request;
  head.is_signed = foreign.is_signed;
  head.is_encoded = foreign.is_encoded;
  return head;
}

TargetResponseHead MakeEngineHead(int status) {
  return MakeHead(status, {"", RequestId("request"), true});
}

void Deliver(TargetSend& send,
             const TargetResponseHead& head,
             const std::string& body) {
  send.observer->OnResponseHead(head);
  if (send.observer != nullptr && !body.empty()) {
    send.observer->OnBytes(body);
  }
  if (send.observer != nullptr) {
    send.observer->OnEnd();
  }
}

/// An entry that reaches no engine and passes its requests on to another one.
struct RelayingEntry : ForwardingHarness {
  RelayingEntry() {
    AddPlainTargets(3);
    forwarder->SetRelayPeers(
        {{InstanceId("peer"), {"10.0.0.9", 80}, FailureDomain("a")}});
    targets.is_cut_off = true;
    Handle(Call("/once/x"));
    for (std::size_t i = 0; i < 3; ++i) {
      Fail(i, ErrorCode::kUnavailable);
    }
    targets.AnswerPendingCalls();
    REQUIRE(forwarder->IsCutOff());
  }
};

/// The caller's record after one answer to an order with a single attempt.
std::shared_ptr<CallerRecord> PlayOrder(Sender sender,
                                        const TargetResponseHead& head) {
  if (sender == Sender::kEntry) {
    RelayingEntry entry;
    auto caller = entry.Handle(ForwardingHarness::Call("/once/x"));
    REQUIRE(entry.targets.sends.back()->relayed_call);
    Deliver(*entry.targets.sends.back(), head, "page");
    return caller;
  }
  ForwardingHarness harness;
  harness.AddPlainTargets(2);
  auto caller = harness.Handle(ForwardingHarness::Call("/once/x"));
  Deliver(harness.send(0), head, "page");
  return caller;
}

// Guards against an order that no engine has run and that its caller takes for
// done.
TEST_CASE("a success that is not the engine's answer is never passed on") {
  for (const Sender sender : {Sender::kEngine, Sender::kEntry}) {
    for (const int status : {200, 201, 202, 204, 206, 299}) {
      for (const ForeignHead& it : ListForeignHeads()) {
        CAPTURE(static_cast<int>(sender));
        CAPTURE(status);
        CAPTURE(it.name);
        const auto caller = PlayOrder(sender, MakeHead(status, it));
        CHECK_FALSE(caller->reply);
        REQUIRE(caller->refusal);
        // The engine may have run it before it sent these bytes.
        CHECK_FALSE(GuaranteesNotRun(caller->refusal->type));
      }
    }
  }
}

// Guards against an error page that passes for the engine's refusal, which
// would promise that an order has not run.
TEST_CASE("an error page without the request's ID is never passed on") {
  for (const int status : {301, 302, 400, 401, 404, 421, 429, 500, 503}) {
    CAPTURE(status);
    TargetResponseHead head = MakeHead(status, {"", RequestId()});
    head.is_not_run = status == 421;
    const auto caller = PlayOrder(Sender::kEngine, head);
    CHECK_FALSE(caller->reply);
    REQUIRE(caller->refusal);
    CHECK(caller->refusal->type == ForwardRefusalType::kTargetFailed);
  }
}

TEST_CASE("a lookup is sent again after bytes that are no answer") {
  for (const int status : {200, 204, 302, 404, 500}) {
    for (const ForeignHead& it : ListForeignHeads()) {
      if (status >= 300 && it.request == RequestId("request")) {
        continue;
      }
      CAPTURE(status);
      CAPTURE(it.name);
      ForwardingHarness harness;
      harness.AddPlainTargets(2);
      const auto caller = harness.Handle(ForwardingHarness::Call("/safe/x"));
      Deliver(harness.send(0), MakeHead(status, it), "page");
      REQUIRE(harness.targets.sends.size() == 2);
      CHECK_FALSE(caller->IsOver());
      harness.Answer(1, 200, "answer");
      REQUIRE(caller->reply);
      CHECK(*caller->reply->body == "answer");
    }
  }
}

// Guards against events of another answer in the middle of a stream.
TEST_CASE("a stream's first and later engines must identify their answers") {
  for (const bool is_resumed : {false, true}) {
    for (const ForeignHead& it : ListForeignHeads()) {
      CAPTURE(is_resumed);
      CAPTURE(it.name);
      ForwardingHarness harness;
      ServingConfig config = ForwardingHarness::Config();
      config.version = Generation(2);
      for (RouteRule& route : config.routes) {
        route.max_attempts = 3;
      }
      harness.forwarder->ApplyConfig(config);
      harness.AddEngines(4);
      const auto caller = harness.Handle(ForwardingHarness::Prompt(5000));
      std::size_t next = 0;
      if (is_resumed) {
        harness.Stream(next, Event(1));
        harness.Fail(next++, ErrorCode::kConnectionLost);
      }
      const int first = is_resumed ? 2 : 1;
      Deliver(harness.send(next), MakeHead(200, it), Event(first));
      REQUIRE(harness.targets.sends.size() == next + 2);
      CHECK(caller->bytes == (is_resumed ? Event(1) : ""));
      CHECK_FALSE(caller->IsOver());
      harness.Stream(++next, Event(first));
      harness.send(next).observer->OnEnd();
      CHECK(caller->has_ended);
      CHECK(caller->bytes == (is_resumed ? Event(1) : "") + Event(first));
    }
  }
}

// The negative tests: sound answers pass.
TEST_CASE("each status of an engine's own answer reaches the caller") {
  for (const Sender sender : {Sender::kEngine, Sender::kEntry}) {
    for (const int status :
         {200, 201, 202, 204, 206, 299, 302, 400, 404, 409, 500, 504}) {
      CAPTURE(static_cast<int>(sender));
      CAPTURE(status);
      TargetResponseHead head = MakeEngineHead(status);
      // Only a success needs the signature.
      head.is_signed = status < 300;
      const auto caller = PlayOrder(sender, head);
      REQUIRE(caller->reply);
      CHECK(caller->reply->status == status);
      CHECK(*caller->reply->body == "page");
    }
  }
}

TEST_CASE("a request without an ID gets the answer without one") {
  for (const int status : {200, 400}) {
    CAPTURE(status);
    ForwardingHarness harness;
    harness.AddPlainTargets(1);
    ForwardCall call = ForwardingHarness::Call("/once/x");
    call.id = RequestId();
    const auto caller = harness.Handle(std::move(call));
    TargetResponseHead head = MakeHead(status, {"", RequestId(), true});
    head.is_not_run = head.has_not_run_mark = status == 400;
    Deliver(harness.send(0), head, "answer");
    REQUIRE(caller->reply);
    CHECK(caller->reply->status == status);
  }
}

TEST_CASE("a refusal that says that nothing ran is followed by an attempt") {
  for (const int status : {421, 429, 503}) {
    for (const bool has_id : {false, true}) {
      if (status == 421 && !has_id) {
        // Without the mark, see the test of error pages.
        continue;
      }
      CAPTURE(status);
      CAPTURE(has_id);
      ForwardingHarness harness;
      harness.AddPlainTargets(2);
      const auto caller = harness.Handle(ForwardingHarness::Call("/once/x"));
      TargetResponseHead head =
          MakeHead(status, {"", has_id ? RequestId("request") : RequestId()});
      head.is_not_run = true;
      head.has_not_run_mark = status != 421;
      Deliver(harness.send(0), head, "");
      REQUIRE(harness.targets.sends.size() == 2);
      harness.Answer(1, 200, "done");
      CHECK(caller->reply);
    }
  }
}

TEST_CASE("an entry's refusal, which names no request, is passed on") {
  for (const int status : {400, 401, 404, 502, 503, 504}) {
    CAPTURE(status);
    const auto caller =
        PlayOrder(Sender::kEntry, MakeHead(status, {"", RequestId()}));
    REQUIRE(caller->reply);
    CHECK(caller->reply->status == status);
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
