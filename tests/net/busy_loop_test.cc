// Guards against event loops that never sleep: a socket or a buffer that is
// reported as ready in each iteration while no callback empties it.

#include <doctest/doctest.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/net/net.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCalmTime = milliseconds(300);
/// Allows for bytes under way, timers and samples. A loop that never sleeps
/// makes thousands of iterations in `kCalmTime`.
constexpr int kMaxIterations = 60;

int epoll_waits = 0;

struct BusyLoopFixture : NetFixture {
  /// Iterations of the loop in `kCalmTime`, after the bytes under way have
  /// arrived.
  int CountIterations() {
    RunFor(kCalmTime);
    epoll_waits = 0;
    RunFor(kCalmTime);
    return epoll_waits;
  }

  // Not RunUntil: libevent does not return while it has callbacks to call.
  void RunFor(Duration time) {
    const auto timer = clock.RunAfter(time, [this] { loop.Stop(); });
    loop.Run();
  }

  std::unique_ptr<HttpServer> ServeLater(HttpServerSettings settings = {}) {
    return Serve(
        [this](std::unique_ptr<HttpExchange> it) {
          open.push_back(std::move(it));
        },
        settings);
  }

  void WriteAll(RawConnection& connection, std::string_view bytes) {
    Await([&] {
      bytes.remove_prefix(connection.Write(bytes));
      return bytes.empty();
    });
  }

  std::vector<std::unique_ptr<HttpExchange>> open;
};

struct PeerFixture : BusyLoopFixture {
  PeerFixture() {
    PeerLinkSettings settings;
    settings.endpoint = {"127.0.0.1", 0};
    settings.shared_secret = "secret";
    settings.inactivity_timeout = std::chrono::seconds(10);
    auto bound = TcpPeerLink::Listen(loop, clock, random, settings);
    REQUIRE(bound.has_value());
    link = *std::move(bound);
  }

  SeededRandom random{1};
  std::unique_ptr<TcpPeerLink> link;
};

std::string MakeRequest(std::size_t body_bytes) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n" + std::string(body_bytes, 'x');
}

/// Lowers the limit of descriptors so that no further one can be opened.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = dup(0);
    close(next);
    rlimit limit = before_;
    limit.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
};

TEST_CASE("iterations of the loop are counted") {
  BusyLoopFixture net;
  int tasks = 0;
  std::function<void()> post = [&] {
    if (++tasks < 200) {
      net.loop.Post(post);
    }
  };
  // Goes on in the time that is counted.
  const auto timer = net.clock.RunAfter(3 * kCalmTime / 2, post);
  CHECK(net.CountIterations() > 200);
}

TEST_CASE("bytes behind a request that waits do not keep the loop busy") {
  for (const std::size_t size : {1'000, 20'000, 47'000, 60'000, 200'000}) {
    CAPTURE(size);
    BusyLoopFixture net;
    const auto server = net.ServeLater();
    RawConnection raw(server->endpoint());
    raw.Write(MakeRequest(1));
    net.Await([&] { return !net.open.empty(); });
    const std::string next = MakeRequest(size);
    std::string_view unsent = next;
    unsent.remove_prefix(raw.Write(unsent));
    REQUIRE(net.CountIterations() <= kMaxIterations);
    CHECK_FALSE(net.open.front()->IsClosed());

    // The request behind is served whole, and the connection goes on.
    net.open.front()->RespondText(200, "text/plain", "first");
    net.WriteAll(raw, unsent);
    net.Await([&] { return net.open.size() == 2; });
    CHECK(net.open.back()->body()->size() == size);
    net.open.back()->RespondText(200, "text/plain", "second");
    net.Await([&] {
      raw.ReadUntilClosed();
      return raw.received.ends_with("second");
    });
    REQUIRE(net.CountIterations() <= kMaxIterations);
  }
}

TEST_CASE(
    "bytes behind a response that nobody reads do not keep the loop busy") {
  for (const bool is_ended : {false, true}) {
    CAPTURE(is_ended);
    BusyLoopFixture net;
    const auto server = net.ServeLater();
    RawConnection raw(server->endpoint());
    raw.Write(MakeRequest(1));
    net.Await([&] { return !net.open.empty(); });
    HttpExchange& exchange = *net.open.front();
    const std::string part(8'000'000, 'x');
    const std::string body = part + part;
    exchange.StartChunked(200, {});
    exchange.WriteChunk(body);
    if (is_ended) {
      exchange.EndChunked();
    }
    raw.Write(MakeRequest(200'000));
    REQUIRE(net.CountIterations() <= kMaxIterations);
  }
}

// Guards against a leave that is not noticed because nothing is read any more.
TEST_CASE("a close behind more bytes than are read is reported") {
  for (const bool has_byte_limit : {false, true}) {
    for (const bool is_reset : {false, true}) {
      CAPTURE(has_byte_limit);
      CAPTURE(is_reset);
      BusyLoopFixture net;
      ConnectionBudgetSettings bounds;
      if (has_byte_limit) {
        bounds.max_bytes = ByteCount(64'000'000);
      }
      ConnectionBudget budget(net.clock, bounds);
      HttpServerSettings settings;
      settings.budget = &budget;
      const auto server = net.ServeLater(settings);
      RawConnection raw(server->endpoint());
      raw.Write(MakeRequest(1));
      net.Await([&] { return !net.open.empty(); });
      bool is_closed = false;
      net.open.front()->SetClosedCallback([&] { is_closed = true; });
      net.WriteAll(raw, MakeRequest(90'000));
      REQUIRE(net.CountIterations() <= kMaxIterations);
      REQUIRE_FALSE(is_closed);
      if (is_reset) {
        raw.Reset();
      } else {
        raw.Close();
      }
      net.Await([&] { return is_closed; });
      CHECK(server->CountUnfinishedExchanges() == 0);
      REQUIRE(net.CountIterations() <= kMaxIterations);
    }
  }
}

TEST_CASE("a refused request does not keep the loop busy") {
  BusyLoopFixture net;
  HttpServerSettings settings;
  settings.max_body_bytes = ByteCount(1000);
  const auto server = net.ServeLater(settings);
  RawConnection raw(server->endpoint());
  raw.Write(MakeRequest(200'000));
  REQUIRE(net.CountIterations() <= kMaxIterations);
  raw.Reset();
  REQUIRE(net.CountIterations() <= kMaxIterations);
}

TEST_CASE("unfinished requests do not keep the loop busy") {
  const std::string head = "POST / HTTP/1.1\r\n";
  for (const std::string& bytes :
       {head, head + "X: " + std::string(30'000, 'x'),
        head + "Content-Length: 100000\r\n\r\n" + std::string(90'000, 'x'),
        head + "Transfer-Encoding: chunked\r\n\r\n1;" +
            std::string(30'000, 'x'),
        std::string(60'000, '\n'), std::string("\r")}) {
    CAPTURE(bytes.substr(0, 60));
    BusyLoopFixture net;
    const auto server = net.ServeLater();
    RawConnection raw(server->endpoint());
    raw.Write(bytes);
    REQUIRE(net.CountIterations() <= kMaxIterations);
  }
}

TEST_CASE("a server without descriptors does not keep the loop busy") {
  BusyLoopFixture net;
  const auto server = net.ServeLater();
  RawConnection raw(server->endpoint());
  raw.Write("GET / HTTP/1.1\r\n\r\n");
  {
    const NoFreeDescriptors no_descriptors;
    REQUIRE(net.CountIterations() <= kMaxIterations);
    CHECK(net.open.empty());
  }
  net.Await([&] { return !net.open.empty(); });
}

TEST_CASE("a peer link without descriptors does not keep the loop busy") {
  PeerFixture net;
  RawConnection raw(net.link->endpoint());
  {
    const NoFreeDescriptors no_descriptors;
    REQUIRE(net.CountIterations() <= kMaxIterations);
    raw.ReadUntilClosed();
    CHECK(raw.received.empty());
  }
  net.Await([&] {
    raw.ReadUntilClosed();
    return !raw.received.empty();
  });
}

TEST_CASE("peers that send half a frame do not keep the loop busy") {
  PeerFixture net;
  RawConnection incoming(net.link->endpoint());
  incoming.Write(std::string("\x10\0\0\0", 4) + std::string(36, 'x'));
  const SilentListener other;
  PeerMessage message;
  message.payload = ProbeMessage{1, InstanceId("i-2")};
  net.link->Send(other.endpoint, message);
  REQUIRE(net.CountIterations() <= kMaxIterations);
  const auto outgoing = other.Accept();
  REQUIRE(outgoing != nullptr);
  outgoing->Write("half of a nonce");
  REQUIRE(net.CountIterations() <= kMaxIterations);
  outgoing->Reset();
  REQUIRE(net.CountIterations() <= kMaxIterations);
}

/// A call whose server a test plays byte by byte.
struct CallFixture : BusyLoopFixture, HttpResponseObserver {
  void Start(std::size_t body_bytes) {
    body = std::string(body_bytes, 'x');
    HttpRequest request;
    request.server = listener.endpoint;
    request.method = "POST";
    request.body = MakeBody(body);
    call = client->Stream(std::move(request), *this);
    Await([this] {
      server = server ? std::move(server) : listener.Accept();
      return server != nullptr;
    });
  }

  void OnHeaders(int, const HeaderList&) override { has_head = true; }
  void OnBytes(std::string_view) override {}
  void OnEnd() override { is_over = true; }
  void OnError(Error) override { is_over = true; }

  std::string body;
  SilentListener listener;
  std::unique_ptr<RawConnection> server;
  std::unique_ptr<HttpCall> call;
  bool has_head = false;
  bool is_over = false;
};

TEST_CASE("a paused response does not keep the loop busy") {
  enum class Leave { kNone, kClose, kReset };
  for (const bool is_chunked : {false, true}) {
    for (const Leave leave : {Leave::kNone, Leave::kClose, Leave::kReset}) {
      CAPTURE(is_chunked);
      CAPTURE(static_cast<int>(leave));
      CallFixture net;
      net.Start(1);
      net.server->Write(is_chunked ? "HTTP/1.1 200 OK\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                   : "HTTP/1.1 200 OK\r\n"
                                     "Content-Length: 100000000\r\n\r\n");
      net.Await([&] { return net.has_head; });
      net.call->SetPaused(true);
      std::string chunk = "f4240\r\n" + std::string(1'000'000, 'x');
      net.server->Write(chunk);
      REQUIRE(net.CountIterations() <= kMaxIterations);
      if (leave == Leave::kClose) {
        net.server->Close();
      } else if (leave == Leave::kReset) {
        net.server->Reset();
      }
      REQUIRE(net.CountIterations() <= kMaxIterations);
      net.call->SetPaused(false);
      net.Await([&] { return net.is_over || leave == Leave::kNone; });
      REQUIRE(net.CountIterations() <= kMaxIterations);
    }
  }
}

TEST_CASE("a request body that is not read does not keep the loop busy") {
  enum class Answer { kNone, kPart, kWhole, kEndless };
  enum class Leave { kNone, kHalfClose, kReset };
  for (const Answer answer :
       {Answer::kNone, Answer::kPart, Answer::kWhole, Answer::kEndless}) {
    for (const Leave leave : {Leave::kNone, Leave::kHalfClose, Leave::kReset}) {
      CAPTURE(static_cast<int>(answer));
      CAPTURE(static_cast<int>(leave));
      CallFixture net;
      net.Start(16'000'000);
      const std::string head = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\n";
      if (answer == Answer::kPart) {
        net.server->Write(head.substr(0, 20));
      } else if (answer == Answer::kWhole) {
        net.server->Write(head + "busy");
      } else if (answer == Answer::kEndless) {
        net.server->Write(head + std::string(1'000'000, 'x'));
      }
      REQUIRE(net.CountIterations() <= kMaxIterations);
      if (leave == Leave::kHalfClose) {
        net.server->ShutDownWriting();
      } else if (leave == Leave::kReset) {
        net.server->Reset();
      }
      REQUIRE(net.CountIterations() <= kMaxIterations);
    }
  }
}

TEST_CASE("bytes on an idle connection to a server do not keep the loop busy") {
  for (const bool is_reset : {false, true}) {
    CAPTURE(is_reset);
    CallFixture net;
    net.Start(1);
    net.server->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    net.Await([&] { return net.is_over; });
    net.server->Write(std::string(200'000, 'x'));
    REQUIRE(net.CountIterations() <= kMaxIterations);
    if (is_reset) {
      net.server->Reset();
    } else {
      net.server->ShutDownWriting();
    }
    REQUIRE(net.CountIterations() <= kMaxIterations);
  }
}

}  // namespace
}  // namespace kingcupdrift

/// Counts the iterations of libevent's loop, in place of the C library's
/// function.
extern "C" int epoll_wait(int epoll_fd,
                          epoll_event* events,
                          int max_events,
                          int timeout_ms) {
  ++kingcupdrift::epoll_waits;
  return epoll_pwait(epoll_fd, events, max_events, timeout_ms, nullptr);
}
