#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupdrift/net/net.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

struct RecordingObserver : HttpResponseObserver {
  void OnHeaders(int code, const HeaderList&) override { status = code; }
  void OnBytes(std::string_view bytes) override { text.append(bytes); }
  void OnEnd() override { is_ended = true; }
  void OnError(Error failure) override { error = std::move(failure); }

  int status = 0;
  std::string text;
  bool is_ended = false;
  std::optional<Error> error;
};

HttpRequest Post(const Endpoint& server, std::string body) {
  HttpRequest request;
  request.server = server;
  request.method = "POST";
  request.target = "/a?x=1%202&y=z";
  request.body = MakeBody(std::move(body));
  return request;
}

TEST_CASE("A request and its response arrive complete [http]") {
  NetFixture net;
  const auto server = net.Serve([](std::unique_ptr<HttpExchange> exchange) {
    CHECK(exchange->method() == "POST");
    CHECK(exchange->GetPath() == "/a");
    CHECK(exchange->GetQueryParameter("x") == "1 2");
    CHECK(exchange->GetQueryParameter("y") == "z");
    CHECK(!exchange->GetQueryParameter("q"));
    exchange->RespondText(201, "text/plain", "got " + *exchange->body());
  });
  for (int i = 0; i < 3; ++i) {
    const auto answer = net.Fetch(Post(server->endpoint(), "body"));
    REQUIRE(answer.has_value());
    CHECK(answer->status == 201);
    CHECK(*answer->body == "got body");
    CHECK(answer->GetHeader("content-type") == "text/plain");
  }
}

TEST_CASE("A large body made of slices arrives unchanged [http]") {
  NetFixture net;
  std::string received;
  const auto server = net.Serve([&](std::unique_ptr<HttpExchange> exchange) {
    received = *exchange->body();
    exchange->RespondText(200, "text/plain", "ok");
  });
  const std::string half(2'500'000, 'x');
  HttpRequest request = Post(server->endpoint(), half);
  request.body.push_back(MakeSlice("|"));
  request.body.push_back(MakeSlice(half));
  REQUIRE(net.Fetch(std::move(request)).has_value());
  CHECK(received == half + "|" + half);
}

TEST_CASE("A stream arrives chunk by chunk and its end is reported [http]") {
  NetFixture net;
  std::unique_ptr<HttpExchange> open;
  const auto server = net.Serve(
      [&](std::unique_ptr<HttpExchange> it) { open = std::move(it); });
  RecordingObserver observer;
  const auto call = net.client->Stream(Post(server->endpoint(), ""), observer);
  net.Await([&] { return open != nullptr; });
  open->StartChunked(200, {{"Content-Type", "text/event-stream"}});
  open->WriteChunk("one");
  net.Await([&] { return observer.text == "one"; });
  open->WriteChunk("two");
  net.Await([&] { return observer.text == "onetwo"; });
  open->EndChunked();
  net.Await([&] { return observer.is_ended; });
  CHECK(observer.status == 200);
}

TEST_CASE("A paused stream leaves bytes unsent until it resumes [http]") {
  NetFixture net;
  std::unique_ptr<HttpExchange> open;
  bool is_drained = false;
  const auto server = net.Serve(
      [&](std::unique_ptr<HttpExchange> it) { open = std::move(it); });
  RecordingObserver observer;
  const auto call = net.client->Stream(Post(server->endpoint(), ""), observer);
  net.Await([&] { return open != nullptr; });
  open->SetDrainedCallback([&] { is_drained = true; });
  open->StartChunked(200, {});
  open->WriteChunk("x");
  net.Await([&] { return observer.text == "x"; });
  call->SetPaused(true);
  const std::string chunk(64'000, 'y');
  std::size_t written = 1;
  while (open->GetUnsentBytes().value() < 1'000'000) {
    open->WriteChunk(chunk);
    written += chunk.size();
    net.loop.RunUntil([] { return false; }, milliseconds(1));
  }
  const std::size_t taken = observer.text.size();
  is_drained = false;
  call->SetPaused(false);
  net.Await([&] { return is_drained && observer.text.size() == written; });
  CHECK(taken < written);
}

TEST_CASE("A disconnect is reported before the response starts [http]") {
  NetFixture net;
  std::unique_ptr<HttpExchange> open;
  bool is_disconnected = false;
  const auto server = net.Serve([&](std::unique_ptr<HttpExchange> it) {
    open = std::move(it);
    open->SetClosedCallback([&] { is_disconnected = true; });
  });
  RecordingObserver observer;
  auto call = net.client->Stream(Post(server->endpoint(), ""), observer);
  net.Await([&] { return open != nullptr; });
  call.reset();
  net.Await([&] { return is_disconnected; });
  CHECK(open->IsClosed());
  open->RespondText(200, "text/plain", "late");
}

TEST_CASE("A disconnect in the middle of a stream is reported [http]") {
  NetFixture net;
  std::unique_ptr<HttpExchange> open;
  const auto server = net.Serve([&](std::unique_ptr<HttpExchange> it) {
    open = std::move(it);
    open->StartChunked(200, {});
    open->WriteChunk("start");
    open->SetClosedCallback([&] { open.reset(); });
  });
  RecordingObserver observer;
  auto call = net.client->Stream(Post(server->endpoint(), ""), observer);
  net.Await([&] { return observer.text == "start"; });
  call.reset();
  net.Await([&] { return open == nullptr; });
}

TEST_CASE("Error codes show how far a failed call got [http]") {
  NetFixture net;
  Endpoint closed;
  {
    const SilentListener gone;
    closed = gone.endpoint;
  }
  CHECK(net.Fetch(Post(closed, "")).error().code == ErrorCode::kUnavailable);

  const auto server =
      net.Serve([](std::unique_ptr<HttpExchange> it) { it.reset(); });
  CHECK(net.Fetch(Post(server->endpoint(), "")).error().code ==
        ErrorCode::kUnknownEffect);

  std::unique_ptr<HttpExchange> kept;
  const auto breaking = net.Serve([&](std::unique_ptr<HttpExchange> it) {
    it->StartChunked(200, {});
    it->WriteChunk("part");
    kept = std::move(it);
    kept->SetDrainedCallback([&] { kept.reset(); });
  });
  CHECK(net.Fetch(Post(breaking->endpoint(), "")).error().code ==
        ErrorCode::kConnectionLost);
}

TEST_CASE("A call to a server that never answers times out [http]") {
  NetFixture net;
  const SilentListener silent;
  HttpRequest request = Post(silent.endpoint, "x");
  request.time_limit = milliseconds(50);
  CHECK(net.Fetch(request).error().code == ErrorCode::kDeadlineExceeded);
  request.time_limit = Duration::zero();
  request.inactivity_timeout = milliseconds(50);
  CHECK(net.Fetch(request).error().code == ErrorCode::kUnknownEffect);
}

TEST_CASE("A stalled response fails with kConnectionLost [http]") {
  NetFixture net;
  std::unique_ptr<HttpExchange> open;
  const auto server = net.Serve([&](std::unique_ptr<HttpExchange> it) {
    open = std::move(it);
    open->StartChunked(200, {});
    open->WriteChunk("part");
  });
  HttpRequest request = Post(server->endpoint(), "");
  request.time_limit = Duration::zero();
  request.inactivity_timeout = milliseconds(50);
  CHECK(net.Fetch(request).error().code == ErrorCode::kConnectionLost);
}

TEST_CASE("A GET succeeds if its idle connection was closed meanwhile [http]") {
  NetFixture net;
  auto server = net.Serve([](std::unique_ptr<HttpExchange> it) {
    it->RespondText(200, "text/plain", "ok");
  });
  HttpRequest request;
  request.server = server->endpoint();
  REQUIRE(net.Fetch(request).has_value());
  const Endpoint endpoint = server->endpoint();
  server.reset();
  auto again = HttpServer::Listen(net.loop, endpoint, {},
                                  [](std::unique_ptr<HttpExchange> it) {
                                    it->RespondText(200, "text/plain", "new");
                                  });
  REQUIRE(again.has_value());
  const auto answer = net.Fetch(request);
  REQUIRE(answer.has_value());
  CHECK(*answer->body == "new");
}

TEST_CASE("A body over the limit is refused with 413 [http]") {
  NetFixture net;
  HttpServerSettings settings;
  settings.max_body_bytes = ByteCount(1000);
  int handled = 0;
  const auto server =
      net.Serve([&](std::unique_ptr<HttpExchange>) { ++handled; }, settings);
  RawConnection raw(server->endpoint());
  raw.Write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
  net.Await([&] { return raw.ReadUntilClosed(); });
  CHECK(raw.received.find("413") != std::string::npos);
  CHECK(handled == 0);
}

TEST_CASE("A request with too many header bytes is refused [http]") {
  NetFixture net;
  HttpServerSettings settings;
  settings.max_header_bytes = ByteCount(4096);
  int handled = 0;
  const auto server =
      net.Serve([&](std::unique_ptr<HttpExchange>) { ++handled; }, settings);
  RawConnection raw(server->endpoint());
  raw.Write("GET /a HTTP/1.1\r\n");
  bool is_closed = false;
  int line = 0;
  net.Await([&] {
    raw.Write("X-Flood-" + std::to_string(line++) + ": " +
              std::string(200, 'f') + "\r\n");
    is_closed = raw.ReadUntilClosed();
    return is_closed;
  });
  CHECK(handled == 0);
}

TEST_CASE(
    "An incomplete request is closed after the inactivity timeout [http]") {
  NetFixture net;
  HttpServerSettings settings;
  settings.inactivity_timeout = milliseconds(50);
  int handled = 0;
  const auto server =
      net.Serve([&](std::unique_ptr<HttpExchange>) { ++handled; }, settings);
  RawConnection headers_only(server->endpoint());
  headers_only.Write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Le");
  RawConnection half_body(server->endpoint());
  half_body.Write("POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345");
  net.Await([&] { return headers_only.ReadUntilClosed(); });
  net.Await([&] { return half_body.ReadUntilClosed(); });
  CHECK(handled == 0);
}

TEST_CASE("Garbage closes its connection and the server goes on [http]") {
  NetFixture net;
  const auto server = net.Serve([](std::unique_ptr<HttpExchange> it) {
    it->RespondText(200, "text/plain", "ok");
  });
  RawConnection raw(server->endpoint());
  raw.Write(std::string("\x00\xff\x16\x03\x01 garbage\r\n\r\n", 17));
  net.Await([&] { return raw.ReadUntilClosed(); });
  HttpRequest request;
  request.server = server->endpoint();
  CHECK(net.Fetch(request).has_value());
}

}  // namespace
}  // namespace kingcupdrift
