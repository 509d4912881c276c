// Engines that send bytes without end, in a body, an event, a head or a chunk.

#include <doctest/doctest.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <string>
#include <vector>

#include "kingcupdrift/forwarding/internal/buffer_budget.h"
#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;

constexpr ByteCount kMemory{160'000'000};
constexpr std::int64_t kAbortMark = 64'000'000;
/// What one read brings.
constexpr std::int64_t kReadBytes = 16'000;

/// One entry with many engines of each service.
struct EndlessEngines : ForwardingHarness {
  explicit EndlessEngines(std::optional<ByteCount> memory = kMemory)
      : ForwardingHarness(memory) {
    AddEngines(8);
    AddPlainTargets(60);
  }

  std::int64_t Metric(const std::string& name) const {
    const std::string text = forwarder->GetMetricsText();
    const std::size_t start = text.find("\n" + name + " ") + name.size() + 2;
    std::int64_t value = -1;
    std::from_chars(text.data() + start, text.data() + text.size(), value);
    return value;
  }
  std::int64_t held() const { return Metric("kingcupdrift_bytes_held"); }
  std::int64_t aborts() const {
    return Metric("kingcupdrift_unfinished_answer_aborts_total");
  }

  ForwardCall NumberedCall(const std::string& path) {
    ForwardCall call = path == "/prompt/x" ? Prompt(500) : Call(path);
    call.id = RequestId("request-" + std::to_string(next_++));
    return call;
  }

  void Begin(TargetSend& send) {
    TargetResponseHead head;
    head.status = 200;
    head.request = send.request;
    head.is_signed = true;
    send.observer->OnResponseHead(head);
  }

  /// Each attempt in progress gets one more read in each turn of the event
  /// loop.
  void Run(int turns, const std::function<void(TargetSend&, int)>& read) {
    for (int turn = 0; turn < turns; ++turn) {
      for (std::size_t i = 0; i < targets.sends.size(); ++i) {
        const std::shared_ptr<TargetSend> send = targets.sends[i];
        if (send->observer != nullptr) {
          read(*send, turn);
        }
      }
      clock.Advance(milliseconds(1));
      targets.AnswerPendingCalls();
      most_held = std::max(most_held, held());
    }
  }

  std::int64_t most_held = 0;

 private:
  int next_ = 0;
};

// Guards against a process that runs out of memory, and takes the requests of
// others with it.
TEST_CASE("answers, events, heads and chunks without end keep one bound") {
  const std::string block(kReadBytes, 'x');
  struct Form {
    std::string name;
    std::string path;
    bool waits_below;
  };
  for (const Form& form :
       {Form{"body of a lookup", "/safe/x", false},
        Form{"body of an order", "/once/x", false},
        Form{"event", "/prompt/x", false}, Form{"chunk", "/once/x", true},
        Form{"head", "/safe/x", true}}) {
    CAPTURE(form.name);
    EndlessEngines entry;
    std::vector<std::shared_ptr<CallerRecord>> callers;
    callers.reserve(300);
    for (int i = 0; i < 300; ++i) {
      callers.push_back(entry.Handle(entry.NumberedCall(form.path)));
    }
    std::map<TargetSend*, std::int64_t> waiting;
    std::set<TargetSend*> begun;
    entry.Run(200, [&](TargetSend& send, int) {
      if (form.name != "head" && begun.insert(&send).second) {
        entry.Begin(send);
        if (form.name == "event") {
          // Other bytes would be refused at once.
          send.observer->OnBytes("data:");
        }
      }
      if (form.waits_below) {
        waiting[&send] += kReadBytes;
        send.observer->OnWaitingBytes(ByteCount(waiting[&send]));
      } else {
        send.observer->OnBytes(block);
      }
    });
    // Each of them may get one read, and its buffer double, in one turn.
    CHECK(entry.most_held > kAbortMark / 2);
    CHECK(entry.most_held <= kAbortMark + kAbortMark / 2);
    CHECK(entry.aborts() > 0);
    CHECK(entry.held() <= kAbortMark);
    for (const auto& it : callers) {
      CHECK_FALSE(it->reply);
      CHECK_FALSE(it->has_ended);
    }
  }
}

TEST_CASE("other requests are served beside answers without end") {
  EndlessEngines entry;
  for (int i = 0; i < 300; ++i) {
    entry.Handle(entry.NumberedCall("/once/x"));
  }
  const std::string block(kReadBytes, 'x');
  std::set<TargetSend*> begun;
  int served = 0;
  int others = 0;
  entry.Run(100, [&](TargetSend& send, int turn) {
    if (send.body == "other") {
      return;
    }
    if (begun.insert(&send).second) {
      entry.Begin(send);
    }
    send.observer->OnBytes(block);
    if (&send != entry.targets.sends.front().get() && others == turn) {
      ++others;
      ForwardCall call = entry.NumberedCall("/once/x");
      call.body = std::make_shared<const std::string>("other");
      const auto caller = entry.Handle(std::move(call));
      REQUIRE_FALSE(caller->refusal);
      entry.Answer(entry.targets.sends.size() - 1, 200, "answer");
      REQUIRE(caller->reply);
      served += *caller->reply->body == "answer" ? 1 : 0;
    }
  });
  CHECK(served > 50);
  CHECK(served == others);
}

// The negative tests.
TEST_CASE("large answers that fit into the memory are all delivered") {
  EndlessEngines entry;
  std::vector<std::shared_ptr<CallerRecord>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(entry.Handle(entry.NumberedCall("/once/x")));
    entry.Begin(entry.send(i));
  }
  const std::string block(kReadBytes, 'x');
  entry.Run(100, [&](TargetSend& send, int) { send.observer->OnBytes(block); });
  for (std::size_t i = 0; i < callers.size(); ++i) {
    entry.send(i).observer->OnEnd();
    REQUIRE(callers[i]->reply);
    CHECK(callers[i]->reply->body->size() == 100 * block.size());
  }
  entry.clock.Advance(milliseconds(1));
  CHECK(entry.aborts() == 0);
  CHECK(entry.held() == 0);
}

TEST_CASE("small answers are spared beside large ones") {
  EndlessEngines entry;
  const auto small = entry.Handle(entry.NumberedCall("/once/x"));
  entry.Begin(entry.send(0));
  entry.send(0).observer->OnBytes(std::string(10'000, 'x'));
  for (int i = 1; i <= 300; ++i) {
    entry.Handle(entry.NumberedCall("/once/x"));
    entry.Begin(entry.send(i));
  }
  const std::string block(kReadBytes, 'x');
  entry.Run(100, [&](TargetSend& send, int) {
    if (&send != entry.targets.sends.front().get()) {
      send.observer->OnBytes(block);
    }
  });
  CHECK(entry.aborts() > 0);
  REQUIRE(entry.send(0).observer != nullptr);
  entry.send(0).observer->OnEnd();
  CHECK(small->reply);
}

TEST_CASE("an interrupted lookup is answered by the next engine") {
  EndlessEngines entry;
  const auto caller = entry.Handle(entry.NumberedCall("/safe/x"));
  entry.Begin(entry.send(0));
  entry.send(0).observer->OnWaitingBytes(ByteCount(kAbortMark + 1));
  CHECK(entry.send(0).observer != nullptr);
  entry.clock.Advance(milliseconds(1));
  REQUIRE(entry.targets.sends.size() == 2);
  CHECK(entry.send(0).observer == nullptr);
  entry.Answer(1, 200, "answer");
  CHECK(caller->reply);
  entry.clock.Advance(milliseconds(1));
  CHECK(entry.held() == 0);
}

TEST_CASE("without a memory limit no unfinished answer is aborted") {
  EndlessEngines entry(std::nullopt);
  for (int i = 0; i < 30; ++i) {
    entry.Handle(entry.NumberedCall("/once/x"));
    entry.Begin(entry.send(i));
  }
  const std::string block(100'000, 'x');
  entry.Run(50, [&](TargetSend& send, int) { send.observer->OnBytes(block); });
  CHECK(entry.aborts() == 0);
  CHECK(entry.held() > kAbortMark);
}

}  // namespace
}  // namespace kingcupdrift::fakes
