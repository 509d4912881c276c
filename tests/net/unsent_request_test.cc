// Guards against a request that is reported as not sent, or whose caller has
// gone, and that is sent afterwards: the connection is established after the
// call ended.

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/net/net.h"
#include "tests/fakes/manual_clock.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(1000);

struct EndObserver : HttpResponseObserver {
  void OnHeaders(int, const HeaderList&) override {}
  void OnBytes(std::string_view) override {}
  void OnEnd() override { is_ended = true; }
  void OnError(Error failure) override {
    error = std::move(failure);
    handle_error();
  }

  std::function<void()> handle_error;
  bool is_ended = false;
  std::optional<Error> error;
};

/// The client's timers run only when the test advances their clock; the sockets
/// are those of the real loop.
struct UnsentFixture : NetFixture {
  UnsentFixture() {
    client = HttpClient::Create(loop, client_clock, kSettings);
    observer.handle_error = [this] { was_closed_at_error = IsClosed(); };
  }

  static HttpRequest MakeOrder(const Endpoint& server) {
    HttpRequest request;
    request.server = server;
    request.method = "POST";
    request.body = MakeBody("order");
    request.time_limit = milliseconds(2000);
    return request;
  }

  /// Begins a call: its connection is being established, and the loop has not
  /// run since.
  void Begin(HttpRequest request) {
    call = client->Stream(std::move(request), observer);
    client_clock.Advance(Duration::zero());
  }

  /// The server sees the end of the connection, and no byte before it.
  bool IsClosed() {
    const bool is_empty = ReadServer().empty();
    return is_empty && !accepted.empty() && accepted.back()->ReadUntilClosed();
  }

  /// Checks that the call ended as not sent, and that nothing was left then
  /// that could still be sent.
  void CheckUnsent() {
    REQUIRE(observer.error.has_value());
    CHECK(observer.error->code == ErrorCode::kUnavailable);
    CHECK(was_closed_at_error);
    RunLoop();
    CHECK(ReadServer().empty());
  }

  /// Runs the loop for long enough to write a waiting request.
  void RunLoop() {
    constexpr Duration kTime = milliseconds(50);
    const auto timer = clock.RunAfter(kTime, [this] { loop.Stop(); });
    loop.Run();
  }

  /// Bytes that have reached the server on any connection.
  std::string ReadServer() {
    std::string out;
    while (auto connection = server.Accept()) {
      accepted.push_back(std::move(connection));
    }
    for (const auto& it : accepted) {
      it->ReadUntilClosed();
      out += it->received;
    }
    return out;
  }

  static constexpr HttpClientSettings kSettings{kConnectTimeout};
  fakes::ManualClock client_clock;
  SilentListener server;
  std::vector<std::unique_ptr<RawConnection>> accepted;
  EndObserver observer;
  bool was_closed_at_error = false;
  std::unique_ptr<HttpCall> call;
};

TEST_CASE("a request is not sent after its connect timeout [unsent]") {
  UnsentFixture net;
  net.Begin(UnsentFixture::MakeOrder(net.server.endpoint));
  net.client_clock.Advance(kConnectTimeout);
  net.CheckUnsent();
}

TEST_CASE("a request is not sent after its time limit [unsent]") {
  UnsentFixture net;
  HttpRequest request = UnsentFixture::MakeOrder(net.server.endpoint);
  request.time_limit = kConnectTimeout / 2;
  net.Begin(std::move(request));
  net.client_clock.Advance(kConnectTimeout / 2);
  net.CheckUnsent();
}

TEST_CASE("a request is not sent after its inactivity timeout [unsent]") {
  UnsentFixture net;
  HttpRequest request = UnsentFixture::MakeOrder(net.server.endpoint);
  request.inactivity_timeout = kConnectTimeout / 2;
  net.Begin(std::move(request));
  net.client_clock.Advance(kConnectTimeout / 2);
  net.CheckUnsent();
}

TEST_CASE("a request is not sent after its call was destroyed [unsent]") {
  UnsentFixture net;
  net.Begin(UnsentFixture::MakeOrder(net.server.endpoint));
  net.call.reset();
  CHECK(net.IsClosed());
  net.RunLoop();
  CHECK(net.ReadServer().empty());
}

// The request waits in the send buffer of a connection that is established.
TEST_CASE(
    "a call that is destroyed on a reused connection sends nothing "
    "[unsent]") {
  UnsentFixture net;
  net.Begin(UnsentFixture::MakeOrder(net.server.endpoint));
  net.Await([&] { return net.ReadServer().ends_with("order"); });
  net.accepted.front()->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  net.Await([&] { return net.observer.is_ended; });
  net.client_clock.Advance(Duration::zero());
  net.accepted.front()->received.clear();

  net.Begin(UnsentFixture::MakeOrder(net.server.endpoint));
  net.call.reset();
  CHECK(net.IsClosed());
  net.RunLoop();
  CHECK(net.ReadServer().empty());
  CHECK(net.accepted.size() == 1);
}

}  // namespace
}  // namespace kingcupdrift
