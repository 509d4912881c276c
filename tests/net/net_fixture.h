#ifndef TESTS_NET_NET_FIXTURE_H_
#define TESTS_NET_NET_FIXTURE_H_

#include <doctest/doctest.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/net/net.h"

namespace kingcupdrift {

inline constexpr Duration kTestTimeout = std::chrono::seconds(10);

/// Provides an event loop, a clock, an HTTP client and servers on loopback.
struct NetFixture {
  NetFixture()
      : client(HttpClient::Create(loop, clock, HttpClientSettings())) {}

  std::unique_ptr<HttpServer> Serve(HttpServer::Handler handler,
                                    HttpServerSettings settings = {}) {
    auto server = HttpServer::Listen(loop, {"127.0.0.1", 0}, settings,
                                     std::move(handler));
    REQUIRE(server.has_value());
    return *std::move(server);
  }

  /// Runs the loop until `is_done` returns true; fails the test after
  /// kTestTimeout.
  void Await(const std::function<bool()>& is_done) {
    Poll();
    REQUIRE(loop.RunUntil(is_done, kTestTimeout));
    poll_timer_.reset();
  }

  Result<HttpResponse> Fetch(HttpRequest request) {
    std::optional<Result<HttpResponse>> result;
    const auto call = client->Fetch(
        std::move(request), [&](auto answer) { result = std::move(answer); });
    Await([&] { return result.has_value(); });
    return *std::move(result);
  }

  EventLoop loop;
  LoopClock clock{loop};
  std::unique_ptr<HttpClient> client;

 private:
  // Wakes the loop regularly, so that `is_done` also sees changes that cause no
  // event.
  void Poll() {
    poll_timer_ =
        clock.RunAfter(std::chrono::milliseconds(1), [this] { Poll(); });
  }

  std::unique_ptr<Timer> poll_timer_;
};

/// A raw TCP connection, to send bytes that no HTTP client would send.
class RawConnection {
 public:
  explicit RawConnection(const Endpoint& server)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    evutil_make_socket_nonblocking(fd_);
  }
  /// Takes ownership of an accepted socket.
  explicit RawConnection(int fd) : fd_(fd) {
    evutil_make_socket_nonblocking(fd_);
  }
  ~RawConnection() { Close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Returns the number of bytes that the connection takes at once.
  std::size_t Write(std::string_view bytes) {
    const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return n < 0 ? 0 : static_cast<std::size_t>(n);
  }
  /// Appends the bytes that have arrived to `received`; returns true once the
  /// other side has closed the connection.
  bool ReadUntilClosed() {
    char buf[4096];
    ssize_t n = 0;
    while ((n = recv(fd_, buf, sizeof(buf), 0)) > 0) {
      received.append(buf, static_cast<std::size_t>(n));
    }
    return n == 0 || (n < 0 && errno != EAGAIN);
  }
  /// Sends no more; the other direction stays open.
  void ShutDownWriting() { shutdown(fd_, SHUT_WR); }
  /// Closes the connection with a reset.
  void Reset() {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    Close();
  }
  void Close() {
    if (fd_ >= 0) {
      evutil_closesocket(fd_);
      fd_ = -1;
    }
  }

  int fd() const { return fd_; }

  std::string received;

 private:
  int fd_;
};

/// A listener that accepts connections and never answers.
class SilentListener {
 public:
  SilentListener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(fd_, 16) == 0);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    evutil_make_socket_nonblocking(fd_);
  }
  ~SilentListener() { evutil_closesocket(fd_); }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  /// Accepts a pending connection; null if there is none.
  std::unique_ptr<RawConnection> Accept() const {
    const int fd = accept(fd_, nullptr, nullptr);
    return fd < 0 ? nullptr : std::make_unique<RawConnection>(fd);
  }

  Endpoint endpoint;

 private:
  int fd_;
};

}  // namespace kingcupdrift

#endif  // TESTS_NET_NET_FIXTURE_H_
