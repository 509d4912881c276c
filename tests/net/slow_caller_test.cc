// Responses whose callers do not read them, over real connections.

#include <doctest/doctest.h>
#include <malloc.h>

#include <string>

#include "kingcupdrift/net/net.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

/// More than the kernel takes for one connection.
std::string MakeLargeBody() {
  const std::string half(8'000'000, 'x');
  return half + half;
}

/// A caller that has sent a request and reads nothing by itself.
struct SlowCallerFixture : NetFixture {
  explicit SlowCallerFixture(ByteCount max_kernel_unsent_bytes = ByteCount(0)) {
    HttpServerSettings settings;
    settings.max_kernel_unsent_bytes = max_kernel_unsent_bytes;
    server = Serve(
        [this](std::unique_ptr<HttpExchange> it) { exchange = std::move(it); },
        settings);
    caller = std::make_unique<RawConnection>(server->endpoint());
    caller->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    Await([this] { return exchange != nullptr; });
  }

  void RunFor(Duration time) {
    loop.RunUntil([] { return false; }, time);
  }

  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpExchange> exchange;
  std::unique_ptr<RawConnection> caller;
};

// Guards against memory that no account covers once a response was ended.
TEST_CASE("an ended response is counted until its caller has read it [http]") {
  SlowCallerFixture net;
  const std::string body = MakeLargeBody();
  bool is_sent = false;
  net.exchange->SetSentCallback([&] {
    is_sent = true;
    net.exchange.reset();
  });
  net.exchange->Respond(200, {}, std::make_shared<const std::string>(body));
  net.RunFor(milliseconds(50));
  CHECK(net.exchange->GetUnsentBytes() > ByteCount(1'000'000));
  CHECK(net.exchange->GetUndeliveredBytes() >= net.exchange->GetUnsentBytes());
  CHECK_FALSE(is_sent);
  net.Await([&] {
    net.caller->ReadUntilClosed();
    return net.caller->received.size() > body.size();
  });
  net.Await([&] { return is_sent; });
  CHECK(net.caller->received.ends_with(body));
  CHECK(net.server->CountUnfinishedExchanges() == 0);
}

TEST_CASE("a discarded response frees its bytes and resets [http]") {
  for (const bool is_ended : {false, true}) {
    CAPTURE(is_ended);
    SlowCallerFixture net;
    net.exchange->SetSentCallback([] { FAIL("called after Discard"); });
    net.exchange->StartChunked(200, {});
    net.exchange->WriteChunk(MakeLargeBody());
    if (is_ended) {
      net.exchange->EndChunked();
    }
    net.RunFor(milliseconds(50));
    net.exchange->Discard();
    CHECK(net.exchange->GetUnsentBytes() == ByteCount(0));
    CHECK(net.exchange->GetUndeliveredBytes() == ByteCount(0));
    net.exchange.reset();
    CHECK(net.server->CountUnfinishedExchanges() == 0);
    net.Await([&] { return net.caller->ReadUntilClosed(); });
    CHECK(net.caller->received.size() < 16'000'000);
    CHECK_FALSE(net.caller->received.ends_with("0\r\n\r\n"));
  }
}

// Guards against callers that count as unread because the kernel, and not this
// process, still had bytes for them.
TEST_CASE("undelivered bytes shrink only when the caller reads [http]") {
  constexpr ByteCount kKernelBytes{32'000};
  SlowCallerFixture net(kKernelBytes);
  net.exchange->StartChunked(200, {});
  net.exchange->WriteChunk(MakeLargeBody());
  net.RunFor(milliseconds(300));
  const ByteCount before = net.exchange->GetUndeliveredBytes();
  CHECK(before > ByteCount(1'000'000));
  // The kernel's part stays small: those in flight and one write.
  MESSAGE("bytes in the kernel for a caller that reads nothing: ",
          (before - net.exchange->GetUnsentBytes()).value());
  net.RunFor(milliseconds(300));
  CHECK(net.exchange->GetUndeliveredBytes() == before);
  net.Await([&] {
    net.caller->ReadUntilClosed();
    return net.caller->received.size() > 2'000'000;
  });
  CHECK(net.exchange->GetUndeliveredBytes() < before);
}

// Guards against a buffer segment of a kilobyte for each short event.
TEST_CASE("short chunks take little more memory than their bytes [http]") {
  SlowCallerFixture net;
  net.exchange->StartChunked(200, {});
  const std::string large(8'000'000, 'x');
  net.exchange->WriteChunk(large);
  net.RunFor(milliseconds(100));
  REQUIRE(net.exchange->GetUnsentBytes() > ByteCount(0));
  const ByteCount unsent = net.exchange->GetUnsentBytes();
  const std::size_t used = mallinfo2().uordblks;
  std::string event;
  std::string expected;
  for (int i = 10'000; i < 20'000; ++i) {
    event = "id: " + std::to_string(i) + "\ndata: a token of the answer\n\n";
    expected += event;
    net.exchange->WriteChunk(event);
  }
  const auto held = static_cast<std::size_t>(
      (net.exchange->GetUnsentBytes() - unsent).value());
  const std::size_t grown = mallinfo2().uordblks - used;
  MESSAGE("bytes held: ", held, ", memory for them: ", grown);
  CHECK(held > expected.size());
  CHECK(grown < 2 * held + expected.capacity());
  // They arrive unchanged, and the connection is drained after them.
  bool is_drained = false;
  net.exchange->SetDrainedCallback([&] { is_drained = true; });
  net.Await([&] {
    net.caller->ReadUntilClosed();
    return is_drained;
  });
  net.exchange->EndChunked();
  net.Await([&] {
    net.caller->ReadUntilClosed();
    return net.caller->received.ends_with("\r\n0\r\n\r\n");
  });
  std::string chunks =
      net.caller->received.substr(net.caller->received.find("\r\n\r\n") + 4);
  std::string text;
  while (!chunks.empty()) {
    const std::size_t line = chunks.find("\r\n");
    const std::size_t size = std::stoul(chunks.substr(0, line), nullptr, 16);
    text += chunks.substr(line + 2, size);
    chunks.erase(0, line + 2 + size + 2);
  }
  CHECK(text == large + expected);
}

struct CountingObserver : HttpResponseObserver {
  void OnHeaders(int, const HeaderList&) override {}
  void OnBytes(std::string_view bytes) override { count += bytes.size(); }
  void OnEnd() override { is_ended = true; }
  void OnError(Error) override { is_ended = true; }

  std::size_t count = 0;
  bool is_ended = false;
};

// Guards against bytes that a paused engine's connection still reads.
TEST_CASE("a paused call holds no more than the kernel's buffers [http]") {
  NetFixture net;
  std::unique_ptr<HttpExchange> engine;
  const auto server = net.Serve(
      [&](std::unique_ptr<HttpExchange> it) { engine = std::move(it); });
  CountingObserver observer;
  HttpRequest request;
  request.server = server->endpoint();
  const auto call = net.client->Stream(std::move(request), observer);
  net.Await([&] { return engine != nullptr; });
  engine->StartChunked(200, {});
  engine->WriteChunk("x");
  net.Await([&] { return observer.count == 1; });
  call->SetPaused(true);
  for (int i = 0; i < 160; ++i) {
    engine->WriteChunk(std::string(100'000, 'x'));
  }
  net.loop.RunUntil([] { return false; }, milliseconds(300));
  const ByteCount received = net.client->BytesReceived();
  MESSAGE("bytes that the kernel took for a paused call: ",
          16'000'000 - engine->GetUndeliveredBytes().value());
  CHECK(engine->GetUndeliveredBytes() > ByteCount(1'000'000));
  CHECK(call->GetUnreadBytes() > ByteCount(10'000));
  CHECK(call->GetUnreadBytes() < ByteCount(8'000'000));
  net.loop.RunUntil([] { return false; }, milliseconds(300));
  CHECK(net.client->BytesReceived() == received);
  CHECK(observer.count == 1);
  call->SetPaused(false);
  net.Await([&] { return observer.count == 16'000'001; });
}

// Guards against a copy of the body for each engine that reads it slowly.
TEST_CASE("a request whose server reads nothing holds its body once [http]") {
  NetFixture net;
  const SilentListener server;
  const auto body = std::make_shared<const std::string>(4'194'304, 'b');
  CountingObserver observer;
  HttpRequest request;
  request.server = server.endpoint;
  request.method = "POST";
  request.body = {{body, std::string_view(*body)}};
  request.time_limit = Duration::zero();
  const std::size_t used = mallinfo2().uordblks;
  const auto call = net.client->Stream(std::move(request), observer);
  net.loop.RunUntil([] { return false; }, milliseconds(300));
  const auto connection = server.Accept();
  REQUIRE(connection != nullptr);
  MESSAGE("bytes that the kernel took of a request: ",
          net.client->BytesSent().value());
  CHECK(mallinfo2().uordblks < used + 100'000);
  net.Await([&] {
    connection->ReadUntilClosed();
    return connection->received.size() > body->size();
  });
  CHECK(connection->received.ends_with(*body));
  CHECK_FALSE(observer.is_ended);
}

}  // namespace
}  // namespace kingcupdrift
