#include "tests/fakes/load_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "tests/fakes/manual_clock.h"
#include "tests/fakes/simulated_entry.h"

namespace kingcupdrift::fakes {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Time after the last arrival within which every request ends.
constexpr Duration kCompletionTimeout = std::chrono::seconds(600);
const ServiceId kService("lm");

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

EngineId EngineName(int i) {
  return EngineId(fmt::format("engine-{:02}", i));
}

SiteConfig MakeConfig(const LoadSimulationOptions& options) {
  SiteConfig config;
  ServiceConfig& service = config.services[kService];
  service.id = kService;
  service.own_time_weight = options.own_time_weight;
  service.inflicted_delay_weight = options.inflicted_delay_weight;
  for (int i = 0; i < options.engines; ++i) {
    EngineConfig engine;
    engine.id = EngineName(i);
    engine.service = kService;
    engine.failure_domain =
        FailureDomain(fmt::format("d{}", i % options.failure_domains));
    engine.memory = options.engine.memory;
    config.engines[engine.id] = std::move(engine);
  }
  WorkspaceConfig& workspace = config.workspaces[WorkspaceId("all")];
  workspace.id = WorkspaceId("all");
  workspace.requests_per_second = 1e9;
  workspace.tokens_per_second = 1e12;
  return config;
}

/// One simulation: generates arrivals, polls and faults, and collects results.
class LoadSimulation {
 public:
  explicit LoadSimulation(const LoadSimulationOptions& options)
      : options_(options), workload_(options.workload, options.seed) {
    const SiteConfig config = MakeConfig(options);
    for (int i = 0; i < options.engines; ++i) {
      EngineModelOptions engine = options.engine;
      engine.id = EngineName(i);
      engine.seed = options.seed * 1000 + i;
      fleet_.engines[engine.id] = std::make_unique<EngineModel>(engine, clock_);
    }
    for (int i = 0; i < options.entries; ++i) {
      RouterSettings settings;
      settings.instance = InstanceId(fmt::format("entry-{}", i));
      settings.policy = options.policy;
      settings.forces_length_priority = options.forces_length_priority;
      entries_.push_back(std::make_unique<SimulatedEntry>(
          settings, config, fleet_, clock_, options.seed * 100 + i,
          1.0 / options.entries,
          [this](const SimulatedOutcome& outcome) { Record(outcome); }));
    }
    poll_timers_.resize(entries_.size());
    note_timers_.resize(entries_.size());
    note_arrival_timers_.resize(entries_.size());
  }

  LoadSimulationResult Run() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      // Spreads the polls of the entries over the interval.
      SchedulePoll(i, options_.poll_interval * (i + 1) / entries_.size());
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      ScheduleNotes(i, options_.note_interval * (i + 1) / entries_.size());
    }
    ScheduleArrival();
    if (options_.domain_loss_time > Duration::zero()) {
      loss_timer_ =
          clock_.RunAfter(options_.domain_loss_time, [this] { LoseDomain(); });
    }
    clock_.Advance(options_.warm_up + options_.measured);
    arrival_timer_.reset();
    clock_.Advance(kCompletionTimeout);
    result_.goodput = goodput_tokens_ / ToSeconds(options_.measured);
    result_.cached_share =
        prompt_tokens_ > 0 ? cached_tokens_ / prompt_tokens_ : 0;
    return std::move(result_);
  }

 private:
  void SchedulePoll(std::size_t i, Duration delay) {
    poll_timers_[i] = clock_.RunAfter(delay, [this, i] {
      SchedulePoll(i, options_.poll_interval);
      entries_[i]->Poll();
    });
  }

  void ScheduleNotes(std::size_t i, Duration delay) {
    if (options_.note_interval == Duration::zero()) {
      return;
    }
    note_timers_[i] = clock_.RunAfter(delay, [this, i] {
      ScheduleNotes(i, options_.note_interval);
      SendNotes(i, entries_[i]->TakeNotes());
    });
  }

  void SendNotes(std::size_t from, std::vector<DispatchNote> notes) {
    note_arrival_timers_[from] = clock_.RunAfter(
        options_.note_latency, [this, from, notes = std::move(notes)] {
          for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (to != from) {
              entries_[to]->OnNotes(notes);
            }
          }
        });
  }

  void ScheduleArrival() {
    const double rate = options_.offered_rate / workload_.MeanPrompt();
    arrival_timer_ = clock_.RunAfter(workload_.NextGap(rate), [this] {
      ScheduleArrival();
      entries_[workload_.NextBelow(entries_.size())]->Arrive(workload_.Next());
    });
  }

  void LoseDomain() {
    for (int i = 0; i < options_.engines; i += options_.failure_domains) {
      fleet_.lost.insert(EngineName(i));
      fleet_.engines.at(EngineName(i))->Restart();
    }
    for (auto& entry : entries_) {
      entry->OnEnginesLost();
    }
  }

  void Record(const SimulatedOutcome& outcome) {
    const MonotonicTime begin = MonotonicTime{} + options_.warm_up;
    const MonotonicTime end = begin + options_.measured;
    if (outcome.is_completed && outcome.end >= begin && outcome.end < end) {
      goodput_tokens_ += static_cast<double>(outcome.request->prompt_tokens);
    }
    if (outcome.arrival < begin || outcome.arrival >= end) {
      return;
    }
    PromptLengthBandResult& band =
        result_.bands[GetPromptLengthBand(outcome.request->prompt_tokens)];
    ++band.offered;
    result_.retries += outcome.attempts > 1 ? outcome.attempts - 1 : 0;
    if (outcome.is_refused) {
      ++band.refused;
      return;
    }
    if (!outcome.is_completed) {
      ++band.missed_deadline;
    }
    if (outcome.first_token == MonotonicTime{}) {
      return;
    }
    RecordTimeToFirstToken(outcome, band);
  }

  void RecordTimeToFirstToken(const SimulatedOutcome& outcome,
                              PromptLengthBandResult& band) {
    const double seconds = ToSeconds(outcome.first_token - outcome.arrival);
    const auto prompt = static_cast<double>(outcome.request->prompt_tokens);
    const auto cached = static_cast<double>(outcome.cached.value());
    prompt_tokens_ += prompt;
    cached_tokens_ += cached;
    const double idle_seconds =
        (prompt - cached) / options_.engine.prefill_rate;
    band.first_token.push_back(seconds);
    // For less than one block, the engine's shortest iteration sets the time
    // rather than the prompt.
    const double min_idle_seconds =
        static_cast<double>(options_.engine.block.value()) /
        options_.engine.prefill_rate;
    band.slowdown.push_back(seconds / std::max(idle_seconds, min_idle_seconds));
  }

  LoadSimulationOptions options_;
  ManualClock clock_;
  Workload workload_;
  SimulatedFleet fleet_;
  LoadSimulationResult result_;
  double goodput_tokens_ = 0;
  double prompt_tokens_ = 0;
  double cached_tokens_ = 0;
  std::vector<std::unique_ptr<SimulatedEntry>> entries_;
  std::vector<std::unique_ptr<Timer>> poll_timers_;
  std::vector<std::unique_ptr<Timer>> note_timers_;
  std::vector<std::unique_ptr<Timer>> note_arrival_timers_;
  std::unique_ptr<Timer> arrival_timer_;
  std::unique_ptr<Timer> loss_timer_;
};

}  // namespace

EngineModelOptions LoadSimulationOptions::DefaultEngine() {
  EngineModelOptions engine;
  engine.group_efficiency = 0;
  engine.tokens_per_chunk = 256;
  return engine;
}

LoadSimulationResult SimulateLoad(const LoadSimulationOptions& options) {
  return LoadSimulation(options).Run();
}

double MeasureEngineCapacity(const LoadSimulationOptions& options) {
  /// Counts finished streams.
  struct FinishCounter : public EngineStreamObserver {
    void OnAccepted(TokenCount /*cached*/) override {}
    void OnChunk(EngineChunk /*chunk*/) override {}
    void OnFinished(FinishReason /*reason*/, std::uint64_t /*n*/) override {
      ++finished;
    }
    void OnFailed(Error /*error*/) override {}
    int finished = 0;
  };
  constexpr int kOutstanding = 40;
  constexpr Duration kFeedInterval = std::chrono::milliseconds(100);
  WorkloadOptions workload_options = options.workload;
  workload_options.shared_share = 0;
  ManualClock clock;
  EngineModel engine(options.engine, clock);
  Workload workload(workload_options, options.seed);
  FinishCounter finish_counter;
  int started = 0;
  const auto feed = [&] {
    while (started - finish_counter.finished < kOutstanding) {
      WorkloadRequest request = workload.Next();
      if (2 * request.prompt_tokens > options.engine.memory.value()) {
        continue;
      }
      EngineModelRequest work;
      work.attempt = AttemptId(fmt::format("a{}", started));
      work.prompt.blocks = std::move(request.blocks);
      work.prompt_tokens = TokenCount(request.prompt_tokens);
      work.max_output_tokens = TokenCount(request.output_tokens);
      work.time_left = std::chrono::hours(10);
      if (!engine.Start(std::move(work), &finish_counter)) {
        return;
      }
      ++started;
    }
  };
  const auto advance = [&](Duration time) {
    for (Duration passed{0}; passed < time; passed += kFeedInterval) {
      feed();
      clock.Advance(kFeedInterval);
    }
  };
  advance(options.warm_up);
  const std::int64_t before = engine.counters().prefilled_tokens;
  advance(options.measured);
  return static_cast<double>(engine.counters().prefilled_tokens - before) /
         ToSeconds(options.measured);
}

}  // namespace kingcupdrift::fakes
