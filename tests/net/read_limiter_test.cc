// Guards against one server whose small reads or chunks take the process's time
// from all other connections.

#include "kingcupdrift/net/internal/read_limiter.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/net/net.h"
#include "tests/fakes/manual_clock.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

constexpr auto kBurst = static_cast<std::size_t>(ReadLimiter::kMaxTokens);
constexpr auto kPerSecond =
    static_cast<std::size_t>(ReadLimiter::kTokensPerSecond);
/// Chunks that one read of the socket may bring after the tokens are used up.
constexpr std::size_t kChunksOfOneRead = 16'384 / 6;

struct ByteCounter : HttpResponseObserver {
  void OnHeaders(int, const HeaderList&) override {}
  void OnBytes(std::string_view bytes) override { count += bytes.size(); }
  void OnEnd() override {}
  void OnError(Error failure) override { error = std::move(failure); }

  std::size_t count = 0;
  std::optional<Error> error;
};

/// Calls to one server, which answers with chunks of one byte without end. The
/// client's time stands still but for `clock`.
struct ChunkFlood : NetFixture {
  explicit ChunkFlood(std::size_t calls_in) : observers(calls_in) {
    client = HttpClient::Create(loop, client_clock, HttpClientSettings());
    for (auto& it : observers) {
      HttpRequest request;
      request.server = listener.endpoint;
      request.needs_new_connection = true;
      request.time_limit = Duration::zero();
      calls.push_back(client->Stream(std::move(request), it));
    }
    client_clock.Advance(Duration::zero());
    Await([&] {
      while (auto it = listener.Accept()) {
        it->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        servers.push_back(std::move(it));
      }
      return servers.size() == observers.size();
    });
  }

  std::size_t CountBytes() const {
    std::size_t out = 0;
    for (const auto& it : observers) {
      out += it.count;
    }
    return out;
  }

  /// Sends until the client has read nothing for a while.
  void SendUntilBlocked() {
    constexpr int kCalmPolls = 100;
    std::string chunks;
    for (int i = 0; i < 1000; ++i) {
      chunks += "1\r\nx\r\n";
    }
    std::size_t seen = 0;
    int calm = 0;
    std::vector<std::string> left(servers.size());
    Await([&] {
      for (std::size_t i = 0; i < servers.size(); ++i) {
        left[i] = left[i].empty() ? chunks : left[i];
        left[i].erase(0, servers[i]->Write(left[i]));
      }
      calm = CountBytes() == seen ? calm + 1 : 0;
      seen = CountBytes();
      return calm > kCalmPolls;
    });
  }

  fakes::ManualClock client_clock;
  SilentListener listener;
  std::vector<ByteCounter> observers;
  std::vector<std::unique_ptr<HttpCall>> calls;
  std::vector<std::unique_ptr<RawConnection>> servers;
};

TEST_CASE("the chunks of one server are limited over all its connections") {
  for (const std::size_t calls : {1, 3}) {
    CAPTURE(calls);
    ChunkFlood flood(calls);
    flood.SendUntilBlocked();
    const std::size_t first = flood.CountBytes();
    CHECK(first > kBurst / 2);
    CHECK(first <= kBurst + calls * kChunksOfOneRead);
    flood.client_clock.Advance(std::chrono::seconds(1));
    flood.SendUntilBlocked();
    const std::size_t second = flood.CountBytes() - first;
    CHECK(second > kPerSecond / 2);
    CHECK(second <= kPerSecond + calls * kChunksOfOneRead);
  }
}

TEST_CASE("a server that keeps to the rate is never paused") {
  MonotonicTime now{};
  ReadLimiter limiter(now);
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / ReadLimiter::kTokensPerSecond));
  for (std::size_t i = 0; i < 3 * kPerSecond; ++i) {
    now += interval;
    limiter.Take();
    REQUIRE(limiter.GetPause(now) == Duration::zero());
  }
}

TEST_CASE("a pause lasts until the tokens that are missing have come") {
  MonotonicTime now{};
  ReadLimiter limiter(now);
  for (std::size_t i = 0; i < kBurst + kPerSecond / 10; ++i) {
    limiter.Take();
  }
  CHECK(limiter.GetPause(now) == std::chrono::milliseconds(100));
  CHECK_FALSE(limiter.IsFull(now + std::chrono::seconds(1)));
  CHECK(limiter.IsFull(now + std::chrono::seconds(2)));
}

}  // namespace
}  // namespace kingcupdrift
