// Statuses that callers take as the promise that a request has not run, from
// targets that do and do not state it.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/forwarding/model_engines_harness.h"

namespace kingcupdrift::fakes {
namespace {

const std::vector<int> kPromises = {408, 429, 503};

/// Routes whose requests may run once at most.
struct OnceRoute {
  std::string path;
  int max_attempts = 1;
  bool is_streaming = false;
};

const std::vector<OnceRoute> kOnceRoutes = {{"/once/x", 1},
                                            {"/once/x", 3},
                                            {"/prompt/x", 1, true},
                                            {"/prompt/x", 3, true}};

struct OrderHarness : ForwardingHarness {
  explicit OrderHarness(const OnceRoute& once) {
    ServingConfig config = Config();
    config.version = Generation(2);
    for (RouteRule& it : config.routes) {
      if (once.path.starts_with(it.prefix)) {
        it.retry_safety = RetrySafety::kOnce;
        it.max_attempts = once.max_attempts;
      }
    }
    forwarder->ApplyConfig(config);
    AddEngines(4);
    AddPlainTargets(4);
    caller = Handle(once.is_streaming ? Prompt(5000) : Call(once.path));
  }

  std::shared_ptr<CallerRecord> caller;
};

TargetResponseHead MakeHead(int status, bool names_request, bool is_signed) {
  TargetResponseHead head;
  head.status = status;
  head.request = RequestId(names_request ? "request" : "");
  head.is_signed = is_signed;
  return head;
}

void Deliver(TargetSend& send, const TargetResponseHead& head) {
  send.observer->OnResponseHead(head);
  if (send.observer != nullptr) {
    send.observer->OnBytes("the engine's words");
    send.observer->OnEnd();
  }
}

/// An entry that reaches no engine, after the answer of the entry to which it
/// passed a request on.
std::shared_ptr<CallerRecord> PlayRelay(const std::string& path,
                                        const TargetResponseHead& head) {
  ForwardingHarness entry;
  entry.AddPlainTargets(3);
  entry.forwarder->SetRelayPeers(
      {{InstanceId("peer"), {"10.0.0.9", 80}, FailureDomain("a")}});
  entry.targets.is_cut_off = true;
  entry.Handle(ForwardingHarness::Call("/once/x"));
  for (std::size_t i = 0; i < 3; ++i) {
    entry.Fail(i, ErrorCode::kUnavailable);
  }
  entry.targets.AnswerPendingCalls();
  REQUIRE(entry.forwarder->IsCutOff());
  auto caller = entry.Handle(ForwardingHarness::Call(path));
  REQUIRE(entry.targets.sends.back()->relayed_call);
  Deliver(*entry.targets.sends.back(), head);
  return caller;
}

// Guards against an order that its caller enters again, although an engine that
// failed after it had run the order answered as if it had not.
TEST_CASE("an order gets no promise that its engine did not make") {
  for (const OnceRoute& route : kOnceRoutes) {
    for (const int status : kPromises) {
      for (const bool is_signed : {false, true}) {
        CAPTURE(route.path);
        CAPTURE(route.max_attempts);
        CAPTURE(status);
        CAPTURE(is_signed);
        OrderHarness harness(route);
        Deliver(harness.send(0), MakeHead(status, true, is_signed));
        CHECK(harness.targets.sends.size() == 1);
        CHECK_FALSE(harness.caller->reply);
        REQUIRE(harness.caller->refusal);
        CHECK(harness.caller->refusal->type ==
              ForwardRefusalType::kTargetFailed);
        CHECK(harness.forwarder->GetMetricsText().find(
                  "\nkingcupdrift_unconfirmed_refusals_total 1\n") !=
              std::string::npos);
      }
    }
  }
}

// Guards against the same promise through an entry that passes requests on, as
// its peer may be of a version that passes on engines' refusals unchecked.
TEST_CASE("an order gets no promise of an engine through another entry") {
  for (const int status : kPromises) {
    for (const bool names_request : {false, true}) {
      CAPTURE(status);
      CAPTURE(names_request);
      const auto caller =
          PlayRelay("/once/x", MakeHead(status, names_request, true));
      CHECK_FALSE(caller->reply);
      REQUIRE(caller->refusal);
      CHECK(caller->refusal->type == ForwardRefusalType::kTargetFailed);
    }
  }
}

// Guards against the same promise where an entry asks and another one serves.
TEST_CASE("no entry between caller and engine adds a promise") {
  for (const int status : kPromises) {
    CAPTURE(status);
    ModelEnginesHarness harness(3);
    harness.AddPlainTargets(3);
    harness.SetCut(0, ModelEnginesHarness::Cut::kRefuse);
    for (int i = 0; i < 8; ++i) {
      harness.Ask(0, "/once/x", "earlier-" + std::to_string(i));
      harness.Steps(4);
    }
    harness.plain_status = status;
    std::vector<std::shared_ptr<CallerRecord>> callers;
    for (int i = 0; i < 20; ++i) {
      callers.push_back(harness.Ask(0, "/once/x", std::to_string(i)));
      harness.Step();
    }
    harness.Steps(20);
    for (const auto& it : callers) {
      if (it->refusal) {
        CHECK_FALSE(GuaranteesNotRun(it->refusal->type));
        continue;
      }
      REQUIRE(it->reply);
      CHECK(it->reply->status == 502);
    }
  }
}

TEST_CASE("the refusal of an entry that has sent nothing is passed on") {
  const auto caller = PlayRelay("/once/x", MakeHead(503, false, false));
  REQUIRE(caller->reply);
  CHECK(caller->reply->status == 503);
}

TEST_CASE("an order that its engine declined goes to another one") {
  for (const OnceRoute& route : kOnceRoutes) {
    for (const int status : {408, 421, 429, 503}) {
      CAPTURE(route.path);
      CAPTURE(status);
      OrderHarness harness(route);
      TargetResponseHead head = MakeHead(status, true, false);
      head.is_not_run = true;
      // Status 421 says it without the mark, too.
      head.has_not_run_mark = status != 421;
      Deliver(harness.send(0), head);
      CHECK(harness.targets.sends.size() == 2);
      CHECK_FALSE(harness.caller->IsOver());
    }
  }
}

TEST_CASE("a failure that promises nothing reaches the caller unchanged") {
  for (const OnceRoute& route : kOnceRoutes) {
    for (const int status : {400, 404, 409, 500, 502, 504}) {
      CAPTURE(route.path);
      CAPTURE(status);
      OrderHarness harness(route);
      Deliver(harness.send(0), MakeHead(status, true, true));
      REQUIRE(harness.caller->reply);
      CHECK(harness.caller->reply->status == status);
      CHECK(*harness.caller->reply->body == "the engine's words");
    }
  }
}

// A request that may be repeated loses nothing by a promise that is not kept.
TEST_CASE("a lookup gets the status of its last engine unchanged") {
  for (const int status : kPromises) {
    CAPTURE(status);
    ForwardingHarness harness;
    harness.AddPlainTargets(3);
    const auto caller = harness.Handle(ForwardingHarness::Call("/safe/x"));
    const std::size_t attempts = status == 503 ? 2 : 1;
    for (std::size_t i = 0; i < attempts; ++i) {
      REQUIRE(harness.targets.sends.size() == i + 1);
      Deliver(harness.send(i), MakeHead(status, true, true));
    }
    REQUIRE(caller->reply);
    CHECK(caller->reply->status == status);
    CHECK(*caller->reply->body == "the engine's words");
    const auto relayed = PlayRelay("/safe/x", MakeHead(status, true, true));
    REQUIRE(relayed->reply);
    CHECK(relayed->reply->status == status);
  }
}

// Guards against an engine that is taken for healthy since it turns requests
// away quickly.
TEST_CASE("a refusal does not end an engine's backoff") {
  for (const char* const path : {"/safe/x", "/once/x"}) {
    for (const int status : kPromises) {
      CAPTURE(path);
      CAPTURE(status);
      ForwardingHarness harness;
      harness.AddPlainTargets(1);
      harness.Handle(ForwardingHarness::Call("/once/x"));
      harness.Fail(0, ErrorCode::kConnectionLost);
      harness.Handle(ForwardingHarness::Call(path));
      Deliver(harness.send(1), MakeHead(status, true, true));
      harness.forwarder->UpdateTarget({{EngineId("plain-1"), {"10.0.0.2", 80}},
                                       ServiceId("plain"),
                                       FailureDomain("a"),
                                       6});
      for (std::size_t i = 2; i < 10; ++i) {
        harness.Handle(ForwardingHarness::Call("/once/x"));
        CHECK(harness.send(i).target.id == EngineId("plain-1"));
        harness.Answer(i, 200, "done");
      }
    }
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
