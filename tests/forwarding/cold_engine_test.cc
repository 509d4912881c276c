// Cold engines, which crash well above a rate of requests, before entries that
// always have requests for them.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 14;
constexpr ColdBound kBound{1.5, 5};
constexpr int kMostInASecond = 26;
constexpr Duration kColdTime = seconds(3);
constexpr Duration kStep = milliseconds(10);
constexpr Duration kStartTime = seconds(2);
constexpr std::int64_t kShortPrompt = 4960;
constexpr std::int64_t kLargePrompt = 190'000;

ServingConfig Config(double rate = kRate, Duration cold_time = kColdTime) {
  ServingConfig config = ForwardingHarness::Config();
  for (auto& [id, service] : config.services) {
    service.cold_time = cold_time;
    service.cold_requests_per_second = rate;
  }
  return config;
}

TargetRecord Record(int number,
                    std::int64_t incarnation,
                    std::optional<Duration> left = std::nullopt,
                    const std::string& service = "model") {
  TargetRecord record;
  record.address = {EngineId("engine-" + std::to_string(10 + number)),
                    {"10.0.0.1", static_cast<std::uint16_t>(8000 + number)},
                    Incarnation(incarnation)};
  record.service = ServiceId(service);
  record.failure_domain = FailureDomain("a");
  record.slots = 16;
  record.cold_left = left;
  return record;
}

struct Entry {
  Entry(ManualClock& clock,
        const InstanceId& id,
        const ServingConfig& config,
        const std::optional<ColdBound>& bound)
      : log(clock,
            [this](std::string_view bytes) {
              log_text += bytes;
              return bytes.size();
            }),
        forwarder(
            Forwarder::Create({id, FailureDomain("a"), {0.2, 1000}, bound},
                              {clock, random, targets, log})) {
    forwarder->ApplyConfig(config);
  }

  SeededRandom random{1};
  FakeTargetClient targets;
  std::string log_text;
  DecisionLog log;
  std::unique_ptr<Forwarder> forwarder;
  std::size_t counted = 0;
};

/// Entries that know each other, before engines that answer at once.
class ColdHarness {
 public:
  explicit ColdHarness(int entries,
                       const ServingConfig& config = Config(),
                       const std::optional<ColdBound>& bound = kBound) {
    std::vector<InstanceId> ids;
    for (int i = 0; i < entries; ++i) {
      ids.emplace_back("entry-" + std::to_string(i));
      nodes.push_back(
          std::make_unique<Entry>(clock, ids.back(), config, bound));
    }
    for (const auto& it : nodes) {
      it->forwarder->SetSendingEntries(ids);
      it->forwarder->SetTargetListComplete();
    }
    clock.Advance(kStartTime);
  }

  void Update(const TargetRecord& record) {
    for (const auto& it : nodes) {
      it->forwarder->UpdateTarget(record);
    }
  }
  void AddEngines(int count, std::int64_t incarnation) {
    for (int i = 0; i < count; ++i) {
      Update(Record(i, incarnation));
    }
  }

  std::shared_ptr<CallerRecord> Handle(ForwardCall call) {
    auto record = std::make_shared<CallerRecord>();
    nodes[next_node++ % nodes.size()]->forwarder->Handle(
        std::move(call), MakeRecordingSink(record));
    callers.push_back(record);
    return record;
  }

  void Step() {
    for (const auto& node : nodes) {
      node->targets.AnswerPendingCalls();
      for (; node->counted < node->targets.sends.size(); ++node->counted) {
        // A copy: an answer may end the request and start another.
        const auto send = node->targets.sends[node->counted];
        arrivals[send->target.id].push_back(clock.Now());
        for (const PrefillHelper& it : send->helpers) {
          arrivals[it.engine.id].push_back(clock.Now());
          ++helper_parts;
        }
        Answer(*send);
      }
    }
    clock.Advance(kStep);
  }
  /// `per_second` prompts, all entries together.
  void Load(Duration time, int per_second, std::int64_t tokens) {
    const int steps = static_cast<int>(time / kStep);
    for (int i = 0; i < steps; ++i) {
      const int before = per_second * i / 100;
      for (int j = before; j < per_second * (i + 1) / 100; ++j) {
        Handle(ForwardingHarness::Prompt(tokens));
      }
      Step();
    }
  }

  int FindMost() const {
    int most = 0;
    for (const auto& [engine, times] : arrivals) {
      for (auto it = times.begin(); it != times.end(); ++it) {
        const auto end = std::upper_bound(it, times.end(), *it + seconds(1));
        most = std::max(most, static_cast<int>(end - it));
      }
    }
    return most;
  }
  std::size_t CountArrivals() const {
    std::size_t n = 0;
    for (const auto& [engine, times] : arrivals) {
      n += times.size();
    }
    return n;
  }
  std::string Metrics() const { return nodes[0]->forwarder->GetMetricsText(); }
  void Notify(const EngineAddress& engine, Duration left) {
    for (const auto& it : nodes) {
      EngineNotice notice;
      notice.cold_left = left;
      it->targets.notices->OnEngineNotice(engine, notice);
    }
  }

  ManualClock clock;
  std::vector<std::unique_ptr<Entry>> nodes;
  std::vector<std::shared_ptr<CallerRecord>> callers;
  std::map<EngineId, std::vector<MonotonicTime>> arrivals;
  int helper_parts = 0;
  std::size_t next_node = 0;
  int status = 200;

 private:
  void Answer(TargetSend& send) const {
    if (send.observer == nullptr) {
      return;
    }
    TargetResponseHead head;
    head.status = status;
    head.request = send.request;
    head.is_signed = true;
    head.is_not_run = status == 421;
    send.observer->OnResponseHead(head);
    if (send.observer != nullptr && status == 200) {
      send.observer->OnBytes(Event(1));
    }
    if (send.observer != nullptr) {
      send.observer->OnEnd();
    }
  }
};

// Guards against a failure domain that crashes again as it comes back, since
// its free engines attract the whole load.
TEST_CASE("a failure domain that is back cold under load is not overloaded") {
  constexpr int kCold = 20;
  for (const int entries : {1, 6, 16}) {
    CAPTURE(entries);
    ColdHarness harness(entries);
    harness.AddEngines(kCold, 1);
    harness.Load(kColdTime, 500, kShortPrompt);
    CHECK(harness.FindMost() <= kMostInASecond);
    const double share =
        static_cast<double>(harness.CountArrivals()) / (kCold * kRate * 3);
    MESSAGE(entries << " entries use " << share << " of the rate of " << kCold
                    << " cold engines, at most " << harness.FindMost()
                    << " in a second at one");
    CHECK(share > 0.8);
    // The rest waited, and is served once the engines are warm.
    for (int i = 0; i < 100; ++i) {
      harness.Step();
    }
    CHECK(std::all_of(harness.callers.begin(), harness.callers.end(),
                      [](const auto& it) { return it->has_ended; }));
  }
}

// Guards against capacity lost because the place of a waiting prompt is only
// looked for at long intervals, or by one entry.
TEST_CASE("one cold engine is used at most of the rate while prompts wait") {
  for (const int entries : {1, 6, 16}) {
    CAPTURE(entries);
    ColdHarness harness(entries);
    harness.Update(Record(0, 1, seconds(10)));
    harness.Load(seconds(10), 20, kShortPrompt);
    const double share =
        static_cast<double>(harness.CountArrivals()) / (kRate * 10);
    MESSAGE(entries << " entries use " << share << " of the rate");
    CHECK(share > 0.8);
    CHECK(harness.FindMost() <= kMostInASecond);
  }
}

// Guards against helpers of split prompts that are left out of the count.
TEST_CASE("prefill parts of large prompts count at cold engines") {
  ColdHarness harness(6);
  harness.AddEngines(12, 1);
  harness.Load(kColdTime, 60, kLargePrompt);
  CHECK(harness.helper_parts > 100);
  CHECK(harness.FindMost() > 10);
  CHECK(harness.FindMost() <= kMostInASecond);
}

TEST_CASE("prompts go to warm engines while a cold one takes no more") {
  ColdHarness harness(1);
  harness.Update(Record(0, 1, Duration::zero()));
  harness.Update(Record(1, 1));
  harness.Load(seconds(2), 200, kShortPrompt);
  const EngineId cold = Record(1, 1).address.id;
  CHECK(harness.arrivals[cold].size() <= 26);
  CHECK(harness.CountArrivals() >= 398);
}

TEST_CASE("an engine may be cold again, by its record or by its answers") {
  for (const bool is_record : {true, false}) {
    CAPTURE(is_record);
    ColdHarness harness(6);
    harness.Update(Record(0, 1, Duration::zero()));
    harness.Load(seconds(1), 100, kShortPrompt);
    CHECK(harness.FindMost() > kMostInASecond);
    CHECK(harness.Metrics().find("targets_cold 0") != std::string::npos);
    harness.arrivals.clear();
    const TargetRecord record = Record(0, 1, seconds(2));
    if (is_record) {
      harness.Update(record);
    } else {
      harness.Notify(record.address, seconds(2));
    }
    CHECK(harness.Metrics().find("targets_cold 1") != std::string::npos);
    harness.Load(seconds(2), 100, kShortPrompt);
    CHECK(harness.FindMost() <= kMostInASecond);
    harness.arrivals.clear();
    harness.Load(seconds(1), 100, kShortPrompt);
    CHECK(harness.FindMost() > kMostInASecond);
    harness.nodes[0]->log.Flush();
    CHECK(harness.nodes[0]->log_text.find("event=cold") != std::string::npos);
  }
}

// Guards against capacity lost to requests that never reached the engine.
TEST_CASE("requests that are declined with 421 do not count") {
  ColdHarness harness(1);
  harness.Update(Record(0, 1));
  harness.status = 421;
  for (int i = 0; i < 20; ++i) {
    harness.Handle(ForwardingHarness::Prompt(kShortPrompt));
    harness.Step();
  }
  CHECK(harness.CountArrivals() == 20);
}

// Guards against changes for deployments without figures for cold engines.
TEST_CASE("without cold figures everything is as without the limit") {
  const auto run = [](const ServingConfig& config,
                      const std::optional<ColdBound>& bound) {
    ColdHarness harness(6, config, bound);
    harness.AddEngines(4, 1);
    harness.Load(seconds(1), 100, kShortPrompt);
    // A restart of an engine, which is cold by its own account.
    harness.Update(Record(0, 2, seconds(3)));
    harness.Notify(Record(1, 1).address, seconds(3));
    harness.Load(seconds(2), 400, kShortPrompt);
    return harness.arrivals;
  };
  const auto plain = run(ForwardingHarness::Config(), std::nullopt);
  std::size_t count = 0;
  for (const auto& [engine, times] : plain) {
    count += times.size();
  }
  CHECK(count == 900);
  CHECK(run(ForwardingHarness::Config(), kBound) == plain);
  CHECK(run(Config(), std::nullopt) == plain);
  CHECK(run(Config(0), kBound) == plain);
  CHECK(run(Config(-3), kBound) == plain);
  CHECK(run(Config(kRate, Duration::zero()), kBound) == plain);
  CHECK(run(Config(), kBound) != plain);
}

}  // namespace
}  // namespace kingcupdrift::fakes
