// Connections of clients, byte by byte.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/net/net.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

TEST_CASE("requests behind one another are answered in order [http]") {
  NetFixture net;
  std::vector<std::unique_ptr<HttpExchange>> open;
  const auto server = net.Serve(
      [&](std::unique_ptr<HttpExchange> it) { open.push_back(std::move(it)); });
  RawConnection raw(server->endpoint());
  raw.Write(
      "POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
      "GET /2 HTTP/1.1\r\n\r\n");
  net.Await([&] { return !open.empty(); });
  CHECK(open.back()->target() == "/1");
  open.back()->RespondText(200, "text/plain", "first");
  net.Await([&] { return open.size() == 2; });
  CHECK(open.back()->target() == "/2");
  open.back()->RespondText(200, "text/plain", "second");
  net.Await([&] {
    raw.ReadUntilClosed();
    return raw.received.ends_with("second");
  });
  CHECK(raw.received.find("first") < raw.received.find("second"));
}

// Guards against a close that arrives as a reset and is not noticed while the
// request waits.
TEST_CASE("a reset is reported while a request waits [http]") {
  for (const bool has_more_bytes : {false, true}) {
    CAPTURE(has_more_bytes);
    NetFixture net;
    std::unique_ptr<HttpExchange> open;
    bool is_closed = false;
    const auto server = net.Serve([&](std::unique_ptr<HttpExchange> it) {
      open = std::move(it);
      open->SetClosedCallback([&] { is_closed = true; });
    });
    RawConnection raw(server->endpoint());
    raw.Write("GET / HTTP/1.1\r\n\r\n");
    if (has_more_bytes) {
      raw.Write("GET / HTTP/1.1\r\n\r\n");
    }
    net.Await([&] { return open != nullptr; });
    raw.Reset();
    net.Await([&] { return is_closed; });
    CHECK(server->CountUnfinishedExchanges() == 0);
  }
}

// Guards against a reset that overtakes the response to a body that is still
// being sent.
TEST_CASE("a client that sends its whole body first reads the 413 [http]") {
  NetFixture net;
  HttpServerSettings settings;
  settings.max_body_bytes = ByteCount(1000);
  const auto server = net.Serve([](std::unique_ptr<HttpExchange>) {}, settings);
  RawConnection raw(server->endpoint());
  const std::string part(1'000'000, 'x');
  std::string body;
  while (body.size() < 9 * part.size()) {
    body += part;
  }
  raw.Write("POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n");
  std::size_t sent = 0;
  net.Await([&] {
    sent += raw.Write(std::string_view(body).substr(sent));
    return sent == body.size();
  });
  net.Await([&] { return raw.ReadUntilClosed(); });
  CHECK(raw.received.starts_with("HTTP/1.1 413"));
}

TEST_CASE("new limits hold for the next request of an open connection [http]") {
  NetFixture net;
  HttpServerSettings settings;
  ConnectionBudget budget(net.clock, ConnectionBudgetSettings());
  settings.budget = &budget;
  settings.max_body_bytes = ByteCount(10);
  const auto server = net.Serve(
      [](std::unique_ptr<HttpExchange> it) {
        it->RespondText(200, "text/plain", "got " + *it->body());
      },
      settings);
  RawConnection raw(server->endpoint());
  net.Await([&] { return budget.CountConnections() == 1; });
  const ByteCount idle = budget.held();
  raw.Write("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na");
  net.Await([&] { return budget.held() > idle; });
  settings.max_body_bytes = ByteCount(1);
  server->SetLimits(settings);
  raw.Write("b");
  net.Await([&] {
    raw.ReadUntilClosed();
    return raw.received.ends_with("got ab");
  });
  settings.max_body_bytes = ByteCount(20);
  server->SetLimits(settings);
  raw.Write("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\nhello world");
  net.Await([&] {
    raw.ReadUntilClosed();
    return raw.received.ends_with("got hello world");
  });
}

TEST_CASE("a request may wait longer than the inactivity timeout [http]") {
  NetFixture net;
  HttpServerSettings settings;
  settings.inactivity_timeout = milliseconds(30);
  std::unique_ptr<HttpExchange> open;
  const auto server =
      net.Serve([&](std::unique_ptr<HttpExchange> it) { open = std::move(it); },
                settings);
  RawConnection raw(server->endpoint());
  raw.Write("GET / HTTP/1.1\r\n\r\n");
  net.Await([&] { return open != nullptr; });
  net.loop.RunUntil([] { return false; }, milliseconds(150));
  REQUIRE_FALSE(open->IsClosed());
  open->RespondText(200, "text/plain", "late");
  net.Await([&] { return raw.ReadUntilClosed(); });
  CHECK(raw.received.ends_with("late"));
}

TEST_CASE("responses without a body have none [http]") {
  NetFixture net;
  const auto server = net.Serve([](std::unique_ptr<HttpExchange> it) {
    const int status = it->target() == "/empty" ? 204 : 200;
    it->RespondText(status, "text/plain", "body");
  });
  RawConnection raw(server->endpoint());
  raw.Write(
      "HEAD / HTTP/1.1\r\n\r\nGET /empty HTTP/1.1\r\n\r\n"
      "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  net.Await([&] { return raw.ReadUntilClosed(); });
  CHECK(raw.received.find("HTTP/1.1 200 OK") == 0);
  CHECK(raw.received.find("Content-Length: 4") != std::string::npos);
  CHECK(raw.received.find("body") == raw.received.size() - 4);
}

TEST_CASE("a client that waits for it gets an interim response [http]") {
  NetFixture net;
  const auto server = net.Serve([](std::unique_ptr<HttpExchange> it) {
    it->RespondText(200, "text/plain", "got " + *it->body());
  });
  RawConnection raw(server->endpoint());
  raw.Write(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
      "Content-Length: 2\r\n\r\n");
  net.Await([&] {
    raw.ReadUntilClosed();
    return raw.received == "HTTP/1.1 100 Continue\r\n\r\n";
  });
  raw.Write("ab");
  net.Await([&] {
    raw.ReadUntilClosed();
    return raw.received.ends_with("got ab");
  });
}

}  // namespace
}  // namespace kingcupdrift
