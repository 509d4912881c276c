#include "tests/forwarding/wait_queue_harness.h"

#include <algorithm>
#include <cmath>

namespace kingcupdrift::fakes {

class WaitQueueHarness::Request : public Waiter {
 public:
  Request(WaitQueueHarness& simulation, SimulatedKind kind)
      : simulation_(simulation), kind_(std::move(kind)) {
    info_.service = ServiceId("service");
    info_.workspace = WorkspaceId(kind_.workspace);
    info_.priority = kind_.priority;
    info_.uses_priority = simulation.uses_priority_;
    info_.work = kind_.work * kind_.slots;
    info_.arrival = simulation.clock.Now();
    info_.max_wait = kind_.max_wait;
    info_.target_latency = kind_.target_latency;
  }

  void Arrive() {
    WaitQueue& queue = simulation_.queue;
    const bool is_preceded = queue.IsPreceded(info_);
    if (TryResume(!is_preceded)) {
      queue.CountStart(info_);
      return;
    }
    queue.Add(*this, info_);
    if (is_preceded) {
      queue.Wake();
    }
  }

  bool TryResume(bool may_start) override {
    const Duration waited = simulation_.clock.Now() - info_.arrival;
    if (waited > kind_.max_wait) {
      simulation_.queue.Remove(*this);
      return true;
    }
    if (!may_start || simulation_.free_slots < kind_.slots) {
      return false;
    }
    simulation_.free_slots -= kind_.slots;
    SimulatedCounts& counts = simulation_.counts[kind_.name];
    ++counts.started;
    counts.on_time += waited <= kind_.target_latency ? 1 : 0;
    simulation_.starts.push_back(kind_.name);
    Duration& longest = simulation_.longest_wait[kind_.name];
    longest = std::max(longest, waited);
    // Different times keep the slots from becoming free together.
    const Duration time =
        kind_.work / 2 +
        kind_.work *
            static_cast<Duration::rep>(simulation_.random.NextBelow(1000)) /
            1000;
    timer_ = simulation_.clock.RunAfter(time, [this] {
      simulation_.free_slots += kind_.slots;
      simulation_.queue.Wake();
    });
    return true;
  }

 private:
  WaitQueueHarness& simulation_;
  SimulatedKind kind_;
  WaitInfo info_;
  std::unique_ptr<Timer> timer_;
};

WaitQueueHarness::WaitQueueHarness(int slots, bool uses_priority)
    : log(clock,
          [this](std::string_view bytes) {
            log_text += bytes;
            return bytes.size();
          }),
      queue(clock, log),
      free_slots(slots),
      uses_priority_(uses_priority) {}

WaitQueueHarness::~WaitQueueHarness() = default;

void WaitQueueHarness::Arrive(const SimulatedKind& kind) {
  ++counts[kind.name].arrived;
  requests_.push_back(std::make_unique<Request>(*this, kind));
  requests_.back()->Arrive();
}

void WaitQueueHarness::Run(const std::vector<SimulatedKind>& kinds,
                           Duration time) {
  struct Arrival {
    Duration at;
    const SimulatedKind* kind;
  };
  std::vector<Arrival> arrivals;
  for (const SimulatedKind& it : kinds) {
    double at = 0;
    while (true) {
      constexpr double kScale = 1'000'000;
      const double uniform =
          (static_cast<double>(random.NextBelow(1'000'000)) + 1) / kScale;
      at -= std::log(uniform) / it.per_second * kScale;
      if (at > static_cast<double>(time.count())) {
        break;
      }
      arrivals.push_back({Duration(static_cast<Duration::rep>(at)), &it});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  Duration now{0};
  for (const Arrival& it : arrivals) {
    clock.Advance(it.at - now);
    now = it.at;
    Arrive(*it.kind);
  }
  clock.AdvanceUntil([this] { return queue.size() == 0; },
                     std::chrono::seconds(60));
}

}  // namespace kingcupdrift::fakes
