#include "kingcupdrift/net/engine_http_client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct StreamRecorder : EngineStreamObserver {
  void OnAccepted(TokenCount cached) override { accepted = cached; }
  void OnChunk(EngineChunk chunk) override { chunks.push_back(chunk); }
  void OnFinished(FinishReason, std::uint64_t total) override {
    finished = total;
  }
  void OnFailed(Error failure) override { error = failure; }
  bool IsOver() const { return finished.has_value() || error.has_value(); }

  std::optional<TokenCount> accepted;
  std::vector<EngineChunk> chunks;
  std::optional<std::uint64_t> finished;
  std::optional<Error> error;
};

/// Serves a fake engine. It keeps each request in `open` for the test to
/// answer, unless `answer` is set.
struct EngineFixture : NetFixture {
  EngineFixture() {
    server = Serve([this](std::unique_ptr<HttpExchange> exchange) {
      if (answer) {
        answer(*exchange);
        return;
      }
      open = std::move(exchange);
    });
    engine = {EngineId("e1"), server->endpoint()};
  }

  EngineStreamRequest Request() const {
    EngineStreamRequest request;
    request.request = RequestId("r1");
    request.attempt = AttemptId("a1");
    request.body = std::make_shared<const std::string>(
        R"({"model":"m","prompt":"x","stream":false})");
    request.max_output_tokens = TokenCount(9);
    request.priority = 2;
    request.time_left = std::chrono::seconds(5);
    return request;
  }

  std::unique_ptr<HttpServer> server;
  std::unique_ptr<EngineClient> engines =
      CreateEngineHttpClient(*client, *client, clock, {});
  EngineAddress engine;
  std::function<void(HttpExchange&)> answer;
  std::unique_ptr<HttpExchange> open;
};

TEST_CASE("A stream sends its headers and reads events to the end [engine]") {
  EngineFixture net;
  StreamRecorder seen;
  EngineStreamRequest request = net.Request();
  request.reservation = ReservationId("res");
  request.emitted_text = "so far";
  request.emitted_tokens = 3;
  const auto stream = net.engines->Start(net.engine, request, seen);
  net.Await([&] { return net.open != nullptr; });
  CHECK(net.open->target() == "/v1/completions");
  CHECK(net.open->GetHeader("X-Attempt-Id") == "a1");
  CHECK(net.open->GetHeader("X-Priority") == "2");
  CHECK(net.open->GetHeader("X-Time-Left-Ms") == "5000");
  CHECK(net.open->GetHeader("X-Reservation-Id") == "res");
  const json body = json::parse(*net.open->body());
  CHECK(body["stream"] == true);
  CHECK(body["continuation"]["offset"] == 3);
  net.open->StartChunked(200, {{"Content-Type", "text/event-stream"}});
  net.open->WriteChunk("data: {\"cached_tokens\":4}\n\n");
  net.open->WriteChunk(
      "data: {\"choices\":[{\"text\":\" a\"}],\"offset\":3,"
      "\"token_count\":1}\n\ndata: {\"choices\":[{\"text\":\"\","
      "\"finish_reason\":\"length\"}],\"total_tokens\":4}\n\n"
      "data: [DONE]\n\n");
  net.open->EndChunked();
  net.Await([&] { return seen.IsOver(); });
  CHECK(seen.accepted == TokenCount(4));
  REQUIRE(seen.chunks.size() == 1);
  CHECK(seen.chunks[0].attempt == AttemptId("a1"));
  CHECK(seen.chunks[0].offset == 3);
  CHECK(seen.chunks[0].text == " a");
  CHECK(seen.finished == 4);
}

TEST_CASE("A stream that ends early fails with kConnectionLost [engine]") {
  EngineFixture net;
  StreamRecorder seen;
  const auto stream = net.engines->Start(net.engine, net.Request(), seen);
  net.Await([&] { return net.open != nullptr; });
  net.open->StartChunked(200, {});
  net.open->WriteChunk("data: {\"cached_tokens\":0}\n\n");
  net.Await([&] { return seen.accepted.has_value(); });
  SUBCASE("the connection closes") {
    net.open.reset();
  }
  SUBCASE("the response ends") {
    net.open->EndChunked();
  }
  net.Await([&] { return seen.IsOver(); });
  CHECK(seen.error->code == ErrorCode::kConnectionLost);
}

TEST_CASE("A request that an engine never answers times out [engine]") {
  EngineFixture net;
  StreamRecorder seen;
  const SilentListener silent;
  EngineStreamRequest request = net.Request();
  request.time_left = milliseconds(50);
  const auto stream =
      net.engines->Start({EngineId("e"), silent.endpoint}, request, seen);
  net.Await([&] { return seen.IsOver(); });
  CHECK(seen.error->code == ErrorCode::kDeadlineExceeded);
}

TEST_CASE("Each error status of an engine maps to an error code [engine]") {
  const std::vector<std::pair<int, ErrorCode>> cases = {
      {503, ErrorCode::kOverloaded}, {429, ErrorCode::kOverloaded},
      {507, ErrorCode::kOverloaded}, {404, ErrorCode::kNotFound},
      {412, ErrorCode::kFenced},     {400, ErrorCode::kRefused},
      {500, ErrorCode::kInternal}};
  for (const auto& it : cases) {
    CAPTURE(it.first);
    EngineFixture net;
    net.answer = [&](HttpExchange& exchange) {
      exchange.RespondText(it.first, "text/plain", "no");
    };
    StreamRecorder seen;
    const auto stream = net.engines->Start(net.engine, net.Request(), seen);
    net.Await([&] { return seen.IsOver(); });
    CHECK(seen.error->code == it.second);
  }
}

TEST_CASE("A malformed event fails the stream with kProtocol [engine]") {
  EngineFixture net;
  StreamRecorder seen;
  const auto stream = net.engines->Start(net.engine, net.Request(), seen);
  net.Await([&] { return net.open != nullptr; });
  net.open->StartChunked(200, {});
  net.open->WriteChunk("data: {\"cached_tok\n\n");
  net.Await([&] { return seen.IsOver(); });
  CHECK(seen.error->code == ErrorCode::kProtocol);
}

TEST_CASE("Cancelling or releasing what the engine lacks succeeds [engine]") {
  EngineFixture net;
  std::vector<std::string> seen;
  net.answer = [&](HttpExchange& exchange) {
    seen.push_back(exchange.method() + " " + exchange.target());
    exchange.RespondText(404, "text/plain", "");
  };
  int done = 0;
  const auto count = [&](const Result<void>& result) {
    CHECK(result.has_value());
    ++done;
  };
  net.engines->Cancel(net.engine, AttemptId("a/1"), count);
  net.engines->Release(net.engine, ReservationId("r"), count);
  net.Await([&] { return done == 2; });
  CHECK(seen == std::vector<std::string>{"DELETE /v1/streams/a%2F1",
                                         "DELETE /v1/reservations/r"});
}

TEST_CASE("A load report and holdings are read [engine]") {
  EngineFixture net;
  net.answer = [&](HttpExchange& exchange) {
    exchange.RespondText(
        200, "application/json",
        exchange.GetPath() == "/v1/load"
            ? R"({"sequence":3,"age_ms":20,"free_memory":5,)"
              R"("prefill_rate":2.5,"counted_attempts":["a"]})"
            : R"({"holdings":[{"kind":"stream","id":"a","owner":"i",)"
              R"("attempt":"a","tokens":9,"time_left_ms":-5}]})");
  };
  std::optional<EngineReport> report;
  std::vector<EngineHolding> holdings;
  net.engines->FetchReport(net.engine, [&](auto it) { report = *it; });
  net.engines->ListHoldings(net.engine, [&](auto it) { holdings = *it; });
  net.Await([&] { return report && !holdings.empty(); });
  CHECK(report->age == milliseconds(20));
  CHECK(report->free_memory == TokenCount(5));
  CHECK(report->prefill_rate == 2.5);
  CHECK(report->counted_attempts.at(0) == AttemptId("a"));
  CHECK(holdings[0].kind == HoldingKind::kStream);
  CHECK(holdings[0].time_left == -milliseconds(5));
}

TEST_CASE(
    "A service call sent but not answered has an unknown effect [engine]") {
  EngineFixture net;
  const auto services = CreateServiceHttpClient(*net.client);
  ServiceRequest request;
  request.method = "POST";
  request.target = "/portal/orders";
  request.headers = {{"Authorization", "Bearer t"},
                     {"X-Other", "kept"},
                     {"Idempotency-Key", "callers"}};
  request.body = std::make_shared<const std::string>("order");
  request.idempotency_key = "key";
  request.needs_new_connection = true;
  request.time_left = std::chrono::seconds(5);
  std::optional<Error> error;
  const auto call = services->Call(
      net.engine, request, [&](auto response) { error = response.error(); });
  net.Await([&] { return net.open != nullptr; });
  CHECK(net.open->GetHeader("Authorization").empty());
  CHECK(net.open->GetHeader("X-Other") == "kept");
  CHECK(net.open->GetHeader("Idempotency-Key") == "key");
  CHECK(*net.open->body() == "order");
  net.open.reset();
  net.Await([&] { return error.has_value(); });
  CHECK(error->code == ErrorCode::kUnknownEffect);
}

TEST_CASE("The instance list is read and malformed rows are skipped [engine]") {
  EngineFixture net;
  net.answer = [&](HttpExchange& exchange) {
    exchange.RespondText(
        200, "application/json",
        R"({"items":[{"ports":[{"port":9000}],"endpoints":[)"
        R"({"addresses":["10.0.0.1"],"zone":"a",)"
        R"("conditions":{"serving":true,"terminating":false},)"
        R"("targetRef":{"name":"i-1"}},)"
        R"({"addresses":["10.0.0.2"],"conditions":{"terminating":true},)"
        R"("targetRef":{"name":"i-2"}},)"
        R"({"addresses":["host"],"targetRef":{"name":"i-3"}},)"
        R"({"addresses":[],"targetRef":{"name":"i-4"}},7]},{}]})");
  };
  const auto list =
      CreateEndpointSliceInstanceList(*net.client, net.engine.endpoint);
  std::optional<std::vector<ListedInstance>> rows;
  list->Fetch([&](auto it) { rows = *it; });
  net.Await([&] { return rows.has_value(); });
  REQUIRE(rows->size() == 2);
  CHECK(rows->at(0).peer_endpoint == Endpoint{"10.0.0.1", 9000});
  CHECK(rows->at(0).failure_domain == FailureDomain("a"));
  CHECK(!rows->at(0).is_leaving);
  CHECK(rows->at(1).is_leaving);
}

}  // namespace
}  // namespace kingcupdrift
