// Callers and engines that read slowly, through the forwarder.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "kingcupdrift/forwarding/internal/buffer_budget.h"
#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ByteCount kMemory{160'000'000};
constexpr Duration kTick = milliseconds(100);

/// A caller that reads some bytes in each tick.
struct SlowCaller {
  std::int64_t bytes_per_tick = 0;
  std::int64_t unsent = 0;
  std::string received;
  std::optional<ServiceResponse> reply;
  std::optional<ForwardRefusal> refusal;
  bool has_ended = false;
  bool is_discarded = false;
  std::function<void()> on_drained;
  std::function<void()> on_sent;

  void Read(std::int64_t bytes) {
    const bool had_any = unsent > 0;
    unsent -= std::min(unsent, bytes);
    if (!had_any || unsent > 0) {
      return;
    }
    const auto callback = (has_ended || reply) ? on_sent : on_drained;
    if (callback) {
      callback();
    }
  }
};

class SlowSink : public ForwardSink {
 public:
  explicit SlowSink(std::shared_ptr<SlowCaller> caller)
      : caller_(std::move(caller)) {}

  void Reply(const ServiceResponse& response) override {
    caller_->reply = response;
    caller_->unsent += static_cast<std::int64_t>(response.body->size());
  }
  void Begin(int, const HeaderList&) override {}
  void Write(std::string_view bytes) override {
    caller_->received += bytes;
    caller_->unsent += static_cast<std::int64_t>(bytes.size());
  }
  void End() override { caller_->has_ended = true; }
  void Abort() override { caller_->unsent = 0; }
  void Discard() override {
    caller_->is_discarded = true;
    caller_->unsent = 0;
  }
  void Refuse(const ForwardRefusal& refusal) override {
    caller_->refusal = refusal;
  }
  void SetClosedCallback(std::function<void()>) override {}
  void SetDrainedCallback(std::function<void()> callback) override {
    caller_->on_drained = std::move(callback);
  }
  void SetSentCallback(std::function<void()> callback) override {
    caller_->on_sent = std::move(callback);
  }
  ByteCount GetUnsentBytes() const override {
    return ByteCount(caller_->unsent);
  }

 private:
  std::shared_ptr<SlowCaller> caller_;
};

struct SlowReaders : ForwardingHarness {
  explicit SlowReaders(std::optional<ByteCount> memory)
      : ForwardingHarness(memory) {
    ServingConfig config = Config();
    config.version = Generation(2);
    for (RouteRule& it : config.routes) {
      it.time_limit = seconds(600);
    }
    forwarder->ApplyConfig(std::move(config));
    AddEngines(70);
    AddPlainTargets(3);
  }

  std::shared_ptr<SlowCaller> Start(ForwardCall call,
                                    std::int64_t bytes_per_tick) {
    auto caller = std::make_shared<SlowCaller>();
    caller->bytes_per_tick = bytes_per_tick;
    forwarder->Handle(std::move(call), std::make_unique<SlowSink>(caller));
    callers.push_back(caller);
    return caller;
  }

  void StartStreams(int count, std::int64_t bytes_per_tick) {
    for (int i = 0; i < count; ++i) {
      ForwardCall call = Prompt(100);
      call.prompt->max_output = TokenCount(10'000);
      Start(std::move(call), bytes_per_tick);
    }
    REQUIRE(targets.sends.size() == callers.size());
    events.assign(callers.size(), 0);
    paused_ticks.assign(callers.size(), 0);
    for (std::size_t i = 0; i < callers.size(); ++i) {
      SendEvent(i, 10);
    }
  }

  void SendEvent(std::size_t i, std::size_t size) {
    const std::string event = "id: " + std::to_string(++events[i]) +
                              "\ndata: " + std::string(size, 'x') + "\n\n";
    if (events[i] == 1) {
      Stream(i, event);
    } else {
      send(i).observer->OnBytes(event);
    }
  }

  /// One tick: each engine that is not paused sends an event of `size` bytes,
  /// unless it is 0, and each caller reads.
  void Tick(std::size_t size) {
    for (std::size_t i = 0; i < events.size(); ++i) {
      const bool can_send = send(i).observer != nullptr && !send(i).is_paused;
      paused_ticks[i] = send(i).is_paused ? paused_ticks[i] + 1 : 0;
      longest_pause = std::max(longest_pause, paused_ticks[i]);
      if (can_send && size > 0) {
        SendEvent(i, size);
      }
    }
    for (const auto& it : callers) {
      it->Read(it->bytes_per_tick);
    }
    clock.Advance(kTick);
    most_held = std::max(most_held, Metric("kingcupdrift_bytes_held"));
  }

  void Run(Duration time, std::size_t size) {
    for (Duration it{0}; it < time; it += kTick) {
      Tick(size);
    }
  }

  std::int64_t Metric(const std::string& name) const {
    const std::string text = forwarder->GetMetricsText();
    const std::size_t start = text.find("\n" + name + " ");
    REQUIRE(start != std::string::npos);
    return std::stoll(text.substr(start + name.size() + 2));
  }

  std::vector<std::shared_ptr<SlowCaller>> callers;
  std::vector<int> events;
  std::vector<int> paused_ticks;
  int longest_pause = 0;
  std::int64_t most_held = 0;
};

// Guards against an entry that is killed for its memory.
TEST_CASE("a thousand slow callers stay within the memory for them") {
  SlowReaders slow(kMemory);
  slow.StartStreams(1000, 200);
  slow.Run(seconds(60), 4000);
  MESSAGE("most held: ", slow.most_held);
  CHECK(slow.most_held > kMemory.value() * 2 / 10);
  CHECK(slow.most_held < kMemory.value() * 4 / 10);
  CHECK(slow.Metric("kingcupdrift_buffer_pauses_total") >= 1000);
  // Slow callers make progress, so none is aborted, and new ones are served.
  CHECK(slow.Metric("kingcupdrift_buffer_aborts_total") == 0);
  slow.Start(ForwardingHarness::Call("/once/x"), 0);
  CHECK_FALSE(slow.callers.back()->refusal);
}

// Guards against a bound that aborts or cuts answers of slow callers.
TEST_CASE("a slow caller gets its whole answer without long pauses") {
  SlowReaders slow(kMemory);
  slow.StartStreams(1, 2000);
  // 500,000 bytes of which the caller reads 20,000 a second.
  slow.Run(seconds(20), 4000);
  CHECK(slow.longest_pause * kTick < seconds(2));
  while (slow.send(0).is_paused) {
    slow.Tick(0);
  }
  REQUIRE(slow.send(0).observer != nullptr);
  slow.send(0).observer->OnEnd();
  CHECK(slow.callers[0]->unsent > 200'000);
  slow.Run(seconds(20), 0);
  CHECK(slow.callers[0]->has_ended);
  CHECK(slow.callers[0]->unsent == 0);
  CHECK_FALSE(slow.callers[0]->is_discarded);
  CHECK(slow.Metric("kingcupdrift_bytes_held") == 0);
  std::string whole;
  for (int i = 1; i <= slow.events[0]; ++i) {
    whole += "id: " + std::to_string(i) +
             "\ndata: " + std::string(i == 1 ? 10 : 4000, 'x') + "\n\n";
  }
  CHECK(slow.callers[0]->received == whole);
  CHECK(whole.size() > 400'000);
}

// Guards against an engine that is blamed, and a second one that is used,
// because this entry itself stopped reading.
TEST_CASE("an engine that is paused is not taken for stalled") {
  for (const bool has_limit : {false, true}) {
    CAPTURE(has_limit);
    SlowReaders slow(has_limit ? std::optional(kMemory) : std::nullopt);
    slow.StartStreams(1, 0);
    slow.Run(seconds(15), 100'000);
    CHECK(slow.send(0).is_paused);
    slow.callers[0]->Read(10'000'000);
    slow.Tick(100);
    CHECK_FALSE(slow.send(0).is_paused);
    CHECK(slow.targets.sends.size() == 1);
    // Its event gap counts again.
    slow.Run(seconds(5), 0);
    CHECK(slow.targets.sends.size() == 2);
  }
}

TEST_CASE("callers that read nothing yield, and those that read do not") {
  SlowReaders slow(ByteCount(5'000'000));
  slow.StartStreams(40, 0);
  slow.callers[0]->bytes_per_tick = 100;
  // A whole answer that its caller does not read takes most of the memory.
  const auto plain = slow.Start(ForwardingHarness::Call("/once/x"), 0);
  slow.Answer(40, 200, std::string(1'500'000, 'x'));
  REQUIRE(plain->reply);
  slow.Run(seconds(4), 5000);
  CHECK(slow.Metric("kingcupdrift_bytes_held") > 2'000'000);
  const auto refused = slow.Start(ForwardingHarness::Call("/once/x"), 0);
  REQUIRE(refused->refusal);
  CHECK(GuaranteesNotRun(refused->refusal->type));
  CHECK(refused->refusal->retry_after > Duration::zero());
  CHECK(slow.targets.sends.size() == 41);
  CHECK(slow.Metric("kingcupdrift_buffer_refusals_total") == 1);
  slow.Run(seconds(2), 0);
  // The answer that held the most went first, and was enough.
  CHECK(plain->is_discarded);
  CHECK_FALSE(slow.callers[0]->is_discarded);
  CHECK(slow.Metric("kingcupdrift_bytes_held") <= 2'000'000);
  CHECK(slow.Metric("kingcupdrift_buffer_aborts_total") == 1);
  slow.log.Flush();
  CHECK(slow.log_text.find("event=unread_aborted request=request held=15") !=
        std::string::npos);
  CHECK(slow.log_text.find("event=buffers_full") != std::string::npos);
}

// Guards against answers that no account covers once their request has ended.
TEST_CASE("a whole answer counts until its caller has taken it") {
  SlowReaders slow(kMemory);
  const auto caller = slow.Start(ForwardingHarness::Call("/once/x"), 0);
  slow.Answer(0, 200, std::string(1'000'000, 'x'));
  slow.clock.Advance(kTick);
  CHECK(slow.forwarder->CountRequestsInProgress() == 0);
  CHECK(slow.Metric("kingcupdrift_bytes_held") == 1'000'000);
  // While there is room, it stays as long as it takes.
  slow.clock.Advance(seconds(300));
  CHECK_FALSE(caller->is_discarded);
  caller->Read(1'000'000);
  CHECK(slow.Metric("kingcupdrift_bytes_held") == 0);
}

// Guards against request bodies and gathered answers without a bound.
TEST_CASE("bodies that engines read slowly count") {
  SlowReaders slow(kMemory);
  ForwardCall call = ForwardingHarness::Call("/once/x");
  call.body = std::make_shared<const std::string>(4'194'304, 'b');
  for (int i = 0; i < 15; ++i) {
    CHECK_FALSE(slow.Start(call, 1'000'000)->refusal);
  }
  const auto refused = slow.Start(call, 1'000'000);
  REQUIRE(refused->refusal);
  CHECK(GuaranteesNotRun(refused->refusal->type));
  slow.Answer(0, 200, "done");
  slow.clock.Advance(kTick);
  CHECK_FALSE(slow.Start(call, 1'000'000)->refusal);
  // An answer in progress counts as well.
  const std::int64_t before = slow.Metric("kingcupdrift_bytes_held");
  TargetResponseHead head;
  head.status = 200;
  head.request = slow.send(1).request;
  head.is_signed = true;
  slow.send(1).observer->OnResponseHead(head);
  slow.send(1).observer->OnBytes(std::string(1000, 'x'));
  CHECK(slow.Metric("kingcupdrift_bytes_held") == before + 1000);
}

// The negative test: callers that read fast see no difference.
TEST_CASE("with fast callers nothing is paused and all bytes pass") {
  for (const int streams : {1, 1000}) {
    for (const bool has_limit : {false, true}) {
      CAPTURE(streams);
      SlowReaders slow(has_limit ? std::optional(kMemory) : std::nullopt);
      slow.StartStreams(streams, 1'000'000);
      slow.Run(seconds(5), 1000);
      CHECK(slow.Metric("kingcupdrift_buffer_pauses_total") == 0);
      CHECK(slow.Metric("kingcupdrift_buffer_aborts_total") == 0);
      CHECK(slow.Metric("kingcupdrift_bytes_held") <= slow.callers.size() * 4);
      for (const auto& it : slow.callers) {
        CHECK(it->received.size() > 50'000);
        CHECK(it->received == slow.callers[0]->received);
      }
      CHECK(slow.targets.sends.size() == slow.callers.size());
    }
  }
}

}  // namespace
}  // namespace kingcupdrift::fakes
