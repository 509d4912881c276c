#include "kingcupdrift/net/event_loop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/net/net_fixture.h"
#include "tests/net/paused_loop.h"

namespace kingcupdrift {
namespace {

TEST_CASE("A posted task runs after the timers that are already due [loop]") {
  NetFixture net;
  std::string order;
  std::unique_ptr<Timer> timer;
  net.loop.Post([&] {
    order += "a";
    timer = net.clock.RunAfter(Duration::zero(), [&] { order += "t"; });
    net.loop.Post([&] { order += "b"; });
  });
  net.Await([&] { return order.size() == 3; });
  CHECK(order == "atb");
}

/// A call whose server has received the request.
struct PausedCall {
  PausedCall(PausedLoop& paused, HttpClient& client, Duration time_limit) {
    HttpRequest request;
    request.server = listener.endpoint;
    request.needs_new_connection = true;
    request.time_limit = time_limit;
    call = client.Fetch(std::move(request), [this](auto it) {
      result = std::move(it);
      if (on_answer) {
        on_answer();
      }
    });
    paused.Await([&] {
      server = server ? std::move(server) : listener.Accept();
      if (server) {
        server->ReadUntilClosed();
      }
      return server && server->received.ends_with("\r\n\r\n");
    });
  }

  bool HasAnswer() const { return result && result->has_value(); }

  SilentListener listener;
  std::unique_ptr<RawConnection> server;
  std::optional<Result<HttpResponse>> result;
  std::function<void()> on_answer;
  std::unique_ptr<HttpCall> call;
};

constexpr Duration kLimit = std::chrono::milliseconds(1000);
constexpr Duration kStop = std::chrono::milliseconds(1600);

std::string MakeAnswer(std::size_t body_bytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n" + std::string(body_bytes, 'x');
}

// Guards against a time limit that ends a call whose answer waits in the socket
// while the process does not run. One read does not take the whole answer.
TEST_CASE("A late timer runs after an answer that takes several reads [loop]") {
  PausedLoop paused;
  const auto client = HttpClient::Create(paused.loop, paused.clock, {});
  PausedCall call(paused, *client, kLimit);
  const std::string answer = MakeAnswer(100'000);
  REQUIRE(call.server->Write(answer) == answer.size());
  paused.Resume(kStop);
  CHECK(call.HasAnswer());
}

// One poll does not report this many sockets.
TEST_CASE("A late timer runs after the answers of many connections [loop]") {
  PausedLoop paused;
  const auto client = HttpClient::Create(paused.loop, paused.clock, {});
  constexpr int kCalls = 100;
  std::vector<std::unique_ptr<PausedCall>> calls;
  calls.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(std::make_unique<PausedCall>(paused, *client, kLimit));
  }
  for (const auto& it : calls) {
    it->server->Write(MakeAnswer(800));
  }
  paused.Resume(kStop);
  CHECK(std::all_of(calls.begin(), calls.end(),
                    [](const auto& it) { return it->HasAnswer(); }));
}

TEST_CASE("A late timer runs after the tasks that an answer posts [loop]") {
  PausedLoop paused;
  const auto client = HttpClient::Create(paused.loop, paused.clock, {});
  std::string order;
  PausedCall call(paused, *client, 2 * kStop);
  call.on_answer = [&] {
    paused.loop.Post([&] {
      order += "a";
      paused.loop.Post([&] { order += "b"; });
    });
  };
  const auto timer = paused.clock.RunAfter(kLimit, [&] { order += "t"; });
  call.server->Write(MakeAnswer(0));
  paused.Resume(kStop);
  CHECK(order == "abt");
}

// Guards against timers that are put off again and again by a loop that is
// always late.
TEST_CASE("A late timer runs although tasks are posted without end [loop]") {
  PausedLoop paused;
  bool has_run = false;
  std::function<void()> post = [&] {
    // Time passes only while the loop works.
    paused.now += std::chrono::milliseconds(1);
    paused.loop.Post(post);
  };
  post();
  const auto timer = paused.clock.RunAfter(kLimit, [&] { has_run = true; });
  paused.Resume(kStop);
  CHECK(has_run);
}

TEST_CASE("A timer that is not due waits for its time [loop]") {
  PausedLoop paused;
  std::string order;
  const auto late = paused.clock.RunAfter(2 * kLimit, [&] { order += "b"; });
  const auto soon = paused.clock.RunAfter(kLimit, [&] { order += "a"; });
  auto removed = paused.clock.RunAfter(kLimit, [&] { order += "r"; });
  removed.reset();
  paused.loop.Post([] {});
  paused.Resume(kLimit / 2);
  CHECK(order.empty());
  paused.Resume(kLimit / 2);
  CHECK(order == "a");
  paused.Resume(kLimit);
  CHECK(order == "ab");
}

TEST_CASE("Stop leaves the timers that are due pending [loop]") {
  PausedLoop paused;
  std::string order;
  const auto first = paused.clock.RunAfter(kLimit, [&] {
    order += "a";
    paused.loop.Stop();
  });
  const auto second = paused.clock.RunAfter(kLimit, [&] { order += "b"; });
  paused.Resume(kLimit);
  CHECK(order == "a");
  paused.Resume(kLimit);
  CHECK(order == "ab");
}

// Guards against a loop that is destroyed while its callbacks own timers.
TEST_CASE("Pending callbacks may own timers of their loop [loop]") {
  const auto count = std::make_shared<int>();
  {
    EventLoop loop;
    const auto add = [&](Duration delay) {
      std::shared_ptr<Timer> owned = loop.RunAfter(delay, [count] {});
      owned = std::shared_ptr<Timer>(loop.RunAfter(kLimit, [owned] {}));
      loop.Post([owned] {});
    };
    add(Duration::zero());
    add(kLimit);
  }
  CHECK(count.use_count() == 1);
}

}  // namespace
}  // namespace kingcupdrift
