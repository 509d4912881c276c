// Guards against timers that decide before waiting bytes are read after a stop
// of the process. As after SIGCONT, the loop's wait ends with EINTR and reports
// no sockets, and timers are late: a signal handler takes time and writes to a
// socket.

#include <doctest/doctest.h>
#include <poll.h>
#include <signal.h>
#include <sys/time.h>
#include <unistd.h>

#include <memory>
#include <string>

#include "kingcupdrift/net/net.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLimit = milliseconds(60);
constexpr int kStopMs = 150;

int stop_fd = -1;
char stop_bytes[200];
std::size_t stop_size = 0;

void HandleAlarm(int) {
  poll(nullptr, 0, kStopMs);
  if (write(stop_fd, stop_bytes, stop_size) < 0) {
    _exit(1);
  }
}

/// Interrupts the loop's wait once, 10 ms from now, and writes `bytes` to `fd`
/// before it continues.
class InterruptedWait {
 public:
  InterruptedWait(int fd, const std::string& bytes) {
    REQUIRE(bytes.size() <= sizeof(stop_bytes));
    stop_fd = fd;
    stop_size = bytes.copy(stop_bytes, sizeof(stop_bytes));
    struct sigaction action {};
    action.sa_handler = &HandleAlarm;
    sigaction(SIGALRM, &action, &before_);
    const itimerval at{{0, 0}, {0, 10'000}};
    setitimer(ITIMER_REAL, &at, nullptr);
  }
  ~InterruptedWait() { sigaction(SIGALRM, &before_, nullptr); }
  InterruptedWait(const InterruptedWait&) = delete;
  InterruptedWait& operator=(const InterruptedWait&) = delete;

 private:
  struct sigaction before_ {};
};

/// Runs the loop without the regular wakeups of `NetFixture::Await`.
void RunLoop(NetFixture& net) {
  const auto timer =
      net.clock.RunAfter(milliseconds(2 * kStopMs), [&] { net.loop.Stop(); });
  net.loop.Run();
}

TEST_CASE("an answer that came during a stop precedes a late time limit") {
  NetFixture net;
  SilentListener listener;
  std::optional<Result<HttpResponse>> result;
  HttpRequest request;
  request.server = listener.endpoint;
  request.time_limit = kLimit;
  const auto call = net.client->Fetch(std::move(request),
                                      [&](auto it) { result = std::move(it); });
  std::unique_ptr<RawConnection> server;
  net.Await([&] {
    server = server ? std::move(server) : listener.Accept();
    return server != nullptr;
  });
  const InterruptedWait wait(server->fd(),
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  RunLoop(net);
  REQUIRE(result.has_value());
  CHECK(result->has_value());
}

TEST_CASE("a client whose request came during a stop is not closed as idle") {
  NetFixture net;
  HttpServerSettings settings;
  settings.inactivity_timeout = kLimit;
  const auto server = net.Serve(
      [](std::unique_ptr<HttpExchange> it) {
        it->RespondText(200, "text/plain", "served");
      },
      settings);
  RawConnection raw(server->endpoint());
  const InterruptedWait wait(raw.fd(), "GET / HTTP/1.1\r\n\r\n");
  RunLoop(net);
  raw.ReadUntilClosed();
  CHECK(raw.received.ends_with("served"));
}

TEST_CASE("a peer whose bytes came during a stop is not closed as silent") {
  NetFixture net;
  SeededRandom random{1};
  PeerLinkSettings settings;
  settings.endpoint = {"127.0.0.1", 0};
  settings.shared_secret = "secret";
  settings.inactivity_timeout = kLimit;
  const auto link = TcpPeerLink::Listen(net.loop, net.clock, random, settings);
  REQUIRE(link.has_value());
  RawConnection raw((*link)->endpoint());
  // A part of a frame: the connection waits for the rest.
  const InterruptedWait wait(raw.fd(), std::string("\x40\0\0\0", 4));
  const auto timer = net.clock.RunAfter(milliseconds(10 + kStopMs + 20),
                                        [&] { net.loop.Stop(); });
  net.loop.Run();
  CHECK_FALSE(raw.ReadUntilClosed());
}

}  // namespace
}  // namespace kingcupdrift
