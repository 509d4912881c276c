/// @file
/// Measures the longest stall of an event loop while one 5 MB body is received,
/// parsed and forwarded to an engine over loopback. A timer of one millisecond
/// on the same loop measures the stall.

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "kingcupdrift/api/api.h"
#include "kingcupdrift/net/net.h"

ABSL_FLAG(int, rounds, 21, "Number of bodies to send, one after the other.");
ABSL_FLAG(std::size_t, bytes, 5'000'000, "Size of the prompt in bytes.");

namespace kingcupdrift {
namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(1);
constexpr Duration kRoundTimeout = std::chrono::seconds(20);

/// Measures how late a timer of one millisecond fires.
class StallProbe {
 public:
  explicit StallProbe(Clock& clock) : clock_(clock) {}

  void Start() {
    longest_ = Duration::zero();
    Schedule();
  }
  /// Stops the timer and returns its longest delay since Start.
  Duration Stop() {
    timer_.reset();
    return longest_;
  }

 private:
  void Schedule() {
    due_ = clock_.Now() + kProbeInterval;
    timer_ = clock_.RunAfter(kProbeInterval, [this] {
      longest_ = std::max(longest_, clock_.Now() - due_);
      Schedule();
    });
  }

  Clock& clock_;
  MonotonicTime due_{};
  Duration longest_{0};
  std::unique_ptr<Timer> timer_;
};

std::string MakeRequestBody(std::size_t bytes) {
  std::string prompt;
  while (prompt.size() < bytes) {
    prompt += "cone six, 1222 C, crawling at the rim; ";
  }
  return R"({"model":"m","stream":false,"prompt":")" + prompt + "\"}";
}

/// Answers every request, on a thread and an event loop of its own.
class FakeEngineServer {
 public:
  FakeEngineServer() : thread_([this] { Run(); }) {
    while (port_ == 0) {
      std::this_thread::yield();
    }
  }
  ~FakeEngineServer() {
    is_stopped_ = true;
    thread_.join();
  }
  FakeEngineServer(const FakeEngineServer&) = delete;
  FakeEngineServer& operator=(const FakeEngineServer&) = delete;

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }

 private:
  void Run() {
    EventLoop loop;
    LoopClock clock(loop);
    const auto server = HttpServer::Listen(
        loop, {"127.0.0.1", 0}, {}, [](std::unique_ptr<HttpExchange> it) {
          it->RespondText(200, "text/event-stream",
                          "data: {\"cached_tokens\":0}\n\n"
                          "data: {\"choices\":[{\"text\":\"\",\"finish_reason\""
                          ":\"stop\"}],\"total_tokens\":0}\n\n");
        });
    port_ = (*server)->endpoint().port;
    while (!is_stopped_) {
      loop.RunUntil([] { return false; }, kProbeInterval);
    }
  }

  std::atomic<std::uint16_t> port_ = 0;
  std::atomic<bool> is_stopped_ = false;
  std::thread thread_;
};

/// Sends one body and blocks the calling thread until the answer arrives.
void SendBody(const Endpoint& server, const SharedBytes& body) {
  EventLoop loop;
  LoopClock clock(loop);
  const auto client = HttpClient::Create(loop, clock, {});
  HttpRequest request;
  request.server = server;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = {{body, std::string_view(*body)}};
  request.time_limit = kRoundTimeout;
  bool is_done = false;
  const auto call =
      client->Fetch(std::move(request), [&](auto) { is_done = true; });
  loop.RunUntil([&] { return is_done; }, kRoundTimeout);
}

/// Parses each request and forwards it, as an entry does.
class Forwarder : public EngineStreamObserver {
 public:
  explicit Forwarder(const Endpoint& engine) : engine_{EngineId("e"), engine} {
    server_ = *HttpServer::Listen(
        loop_, {"127.0.0.1", 0}, {},
        [this](std::unique_ptr<HttpExchange> it) { Forward(std::move(it)); });
  }

  void OnAccepted(TokenCount) override {}
  void OnChunk(EngineChunk) override {}
  void OnFinished(FinishReason, std::uint64_t) override { Answer("complete"); }
  void OnFailed(Error error) override { Answer(error.detail); }

  /// Receives and forwards one body. Returns the longest stall of the loop.
  Duration MeasureStall(const SharedBytes& body) {
    std::atomic<bool> is_received = false;
    probe_.Start();
    std::thread sender([&] {
      SendBody(server_->endpoint(), body);
      is_received = true;
    });
    loop_.RunUntil([&] { return is_received.load(); }, kRoundTimeout);
    sender.join();
    return probe_.Stop();
  }

  EventLoop& loop() { return loop_; }
  Duration max_parse_time{0};
  Duration max_start_duration{0};

 private:
  void Forward(std::unique_ptr<HttpExchange> exchange) {
    exchange_ = std::move(exchange);
    const MonotonicTime before = clock_.Now();
    const auto call = ParseCompletion(CompletionKind::kText, exchange_->body());
    max_parse_time = std::max(max_parse_time, clock_.Now() - before);
    if (!call) {
      Answer(call.error().detail);
      return;
    }
    loop_.Post([this, body = call->body] { Start(body); });
  }

  void Start(const SharedBytes& body) {
    EngineStreamRequest request;
    request.body = body;
    request.time_left = kRoundTimeout;
    const MonotonicTime start = clock_.Now();
    stream_ = engines_->Start(engine_, request, *this);
    max_start_duration = std::max(max_start_duration, clock_.Now() - start);
  }

  void Answer(const std::string& text) {
    exchange_->RespondText(200, "text/plain", text);
  }

  EventLoop loop_;
  LoopClock clock_{loop_};
  StallProbe probe_{clock_};
  EngineAddress engine_;
  std::unique_ptr<HttpClient> http_ = HttpClient::Create(loop_, clock_, {});
  std::unique_ptr<EngineClient> engines_ =
      CreateEngineHttpClient(*http_, *http_, clock_, {});
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpExchange> exchange_;
  std::unique_ptr<EngineStream> stream_;
};

int Run() {
  const FakeEngineServer engine;
  Forwarder forwarder(engine.endpoint());
  const auto body = std::make_shared<const std::string>(
      MakeRequestBody(absl::GetFlag(FLAGS_bytes)));
  const int rounds = absl::GetFlag(FLAGS_rounds);
  std::vector<Duration> stalls;
  std::vector<Duration> iteration_times;
  stalls.reserve(static_cast<std::size_t>(rounds));
  iteration_times.reserve(static_cast<std::size_t>(rounds));
  for (int i = 0; i < rounds; ++i) {
    forwarder.loop().ResetMaxIterationCpuTime();
    stalls.push_back(forwarder.MeasureStall(body));
    iteration_times.push_back(forwarder.loop().GetMaxIterationCpuTime());
  }
  std::sort(stalls.begin(), stalls.end());
  std::sort(iteration_times.begin(), iteration_times.end());
  fmt::print(
      "bytes {} rounds {}\nstall_us median {} max {}\n"
      "iteration_cpu_us median {} max {}\nparse_us max {} engine_start_us max "
      "{}\n",
      body->size(), stalls.size(), stalls[stalls.size() / 2].count(),
      stalls.back().count(),
      iteration_times[iteration_times.size() / 2].count(),
      iteration_times.back().count(), forwarder.max_parse_time.count(),
      forwarder.max_start_duration.count());
  return 0;
}

}  // namespace
}  // namespace kingcupdrift

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return kingcupdrift::Run();
}
