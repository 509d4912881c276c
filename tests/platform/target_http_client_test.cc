#include "platform/internal/target_http_client.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "platform/internal/wire_headers.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift::platform {
namespace {

/// A server at a target's address, and a client that calls it.
struct TargetFixture : NetFixture, EngineNoticeObserver, TargetObserver {
  TargetFixture() {
    server = Serve([this](std::unique_ptr<HttpExchange> exchange) {
      received.push_back(DecodeCall(*exchange));
      exchange->Respond(status, answer_headers,
                        std::make_shared<const std::string>(answer));
    });
    targets->SetNoticeObserver(*this);
    target = {EngineId("target"), server->endpoint()};
  }

  bool Check() {
    std::optional<bool> answers;
    targets->Check(target, std::chrono::seconds(1),
                   [&](const Result<void>& it) { answers = it.has_value(); });
    Await([&] { return answers.has_value(); });
    return *answers;
  }

  void OnEngineNotice(const EngineAddress&, const EngineNotice&) override {
    ++notices;
  }
  void OnResponseHead(TargetResponseHead answer) override {
    head = std::move(answer);
  }
  void OnBytes(std::string_view bytes) override { body += bytes; }
  void OnEnd() override { is_ended = true; }
  void OnFailed(Error) override { is_ended = true; }

  std::unique_ptr<TargetClient> targets = CreateTargetClient(*client);
  std::unique_ptr<HttpServer> server;
  EngineAddress target;
  int status = 200;
  HeaderList answer_headers = {{"Server-Leaving", "1"}, {"Stamp", "s"}};
  std::string answer = "answer";
  std::vector<ForwardCall> received;
  int notices = 0;
  TargetResponseHead head;
  std::string body;
  bool is_ended = false;
};

/// Records one answer.
struct Answer : TargetObserver {
  void OnResponseHead(TargetResponseHead it) override { head = std::move(it); }
  void OnBytes(std::string_view) override {}
  void OnEnd() override { is_over = true; }
  void OnFailed(Error) override { is_over = true; }

  TargetResponseHead head;
  bool is_over = false;
};

// Guards against an earlier refusal that a faulty engine writes once more on a
// connection, and that passes as the answer to the next request.
TEST_CASE("a refusal written once more is not taken for the next answer") {
  NetFixture net;
  const SilentListener listener;
  const std::unique_ptr<TargetClient> targets = CreateTargetClient(*net.client);
  const EngineAddress target{EngineId("e"), listener.endpoint};
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  ForwardCall call;
  call.id = RequestId("r");
  call.method = "POST";
  call.target = "/x";
  call.body = std::make_shared<const std::string>("body");
  TargetRequest request;
  request.call = &call;
  request.time_left = std::chrono::seconds(5);
  const auto accept = [&] {
    std::unique_ptr<RawConnection> server;
    net.Await([&] {
      server = server ? std::move(server) : listener.Accept();
      return server != nullptr;
    });
    net.Await([&] {
      server->ReadUntilClosed();
      return server->received.ends_with("body");
    });
    return server;
  };
  Answer first;
  const auto first_call = targets->Send(target, request, first);
  const auto first_server = accept();
  first_server->Write(refusal);
  net.Await([&] { return first.is_over; });
  CHECK(first.head.is_not_run);
  // Before, with and after the next request.
  first_server->Write(refusal);
  Answer second;
  const auto second_call = targets->Send(target, request, second);
  first_server->Write(refusal);
  const auto second_server = accept();
  first_server->Write(refusal);
  second_server->Write(
      "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n");
  net.Await([&] { return second.is_over; });
  CHECK(second.head.status == 200);
  CHECK_FALSE(second.head.is_not_run);
}

// Guards against plain targets, which know no report, that count as ended.
TEST_CASE("a check succeeds with any answer of the target's own process") {
  TargetFixture fixture;
  for (const int status : {200, 400, 404, 500, 503}) {
    CAPTURE(status);
    fixture.status = status;
    CHECK(fixture.Check());
  }
  // Another process has the target's address.
  fixture.status = 421;
  CHECK_FALSE(fixture.Check());
  fixture.server.reset();
  CHECK_FALSE(fixture.Check());
}

// Guards against memory that counts as reserved since a faulty engine sent a
// page in place of its answer.
TEST_CASE("an order is confirmed only by the engine's own kind of answer") {
  TargetFixture fixture;
  const auto reserve = [&fixture] {
    std::optional<bool> is_reserved;
    fixture.targets->Reserve(
        fixture.target, ReservationId("r"), TokenCount(100),
        std::chrono::seconds(1),
        [&](const Result<void>& it) { is_reserved = it.has_value(); });
    fixture.Await([&] { return is_reserved.has_value(); });
    return *is_reserved;
  };
  CHECK_FALSE(reserve());
  fixture.answer = "<html></html>";
  CHECK_FALSE(reserve());
  fixture.answer = "{\"free\":100}";
  CHECK(reserve());
  fixture.status = 202;
  CHECK(reserve());
  fixture.status = 409;
  CHECK_FALSE(reserve());
}

// Guards against an engine that gets no requests since a page of another server
// named a pause.
TEST_CASE("only an answer to the request carries the engine's notices") {
  TargetFixture fixture;
  ForwardCall call;
  call.id = RequestId("5a");
  call.method = "POST";
  call.target = "/x";
  call.body = std::make_shared<const std::string>("body");
  TargetRequest request;
  request.call = &call;
  request.time_left = std::chrono::milliseconds(900);
  const auto count_notices = [&](int status, const HeaderList& headers) {
    fixture.status = status;
    fixture.answer_headers = headers;
    fixture.notices = 0;
    fixture.is_ended = false;
    const auto sent = fixture.targets->Send(fixture.target, request, fixture);
    fixture.Await([&] { return fixture.is_ended; });
    return fixture.notices;
  };
  const std::pair<std::string, std::string> pause = {"Retry-After", "60"};
  CHECK(count_notices(503, {pause}) == 0);
  CHECK(count_notices(503, {pause, {"Request-Id", "other"}}) == 0);
  CHECK(count_notices(503, {pause, {"Request-Id", "5a"}}) == 1);
  CHECK(count_notices(503, {pause, {"Not-Executed", "1"}}) == 1);
  const std::pair<std::string, std::string> leaving = {"Server-Leaving", "1"};
  CHECK(count_notices(200, {leaving, {"Request-Id", "5a"}}) == 0);
  CHECK(count_notices(
            200, {leaving, {"Request-Id", "5a"}, {"Server-Stamp", "s"}}) == 1);
}

TEST_CASE("a relayed call and its answer pass through unchanged") {
  TargetFixture fixture;
  ForwardCall call;
  call.id = RequestId("5a");
  call.method = "POST";
  call.target = "/p/x?y=1";
  call.headers = {{"Host", "example"}, {"Request-Id", "5a"}};
  call.body = std::make_shared<const std::string>("body");
  call.key = "secret";
  TargetRequest request;
  request.call = &call;
  request.time_left = std::chrono::milliseconds(900);
  request.is_relay = true;
  const auto sent = fixture.targets->Send(fixture.target, request, fixture);
  fixture.Await([&] { return fixture.is_ended; });
  REQUIRE(fixture.received.size() == 1);
  const ForwardCall& relayed = fixture.received[0];
  CHECK(relayed.is_relayed);
  CHECK(relayed.id == call.id);
  CHECK(relayed.host == "example");
  CHECK(relayed.target == call.target);
  CHECK(*relayed.body == "body");
  CHECK(relayed.key == "secret");
  CHECK(relayed.time_limit == std::chrono::milliseconds(900));
  CHECK(fixture.head.status == 200);
  CHECK(fixture.body == "answer");
  // What the other entry passes on says nothing about itself.
  CHECK(fixture.notices == 0);
}

}  // namespace
}  // namespace kingcupdrift::platform
