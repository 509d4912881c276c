#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "kingcupdrift/routing/routing.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

const ServiceId kService("lm");
constexpr int kFailureDomains = 10;
/// Attempts of this entry that run during the measured decisions.
constexpr int kRunningAttempts = 200;
/// Digest blocks of a prompt.
constexpr std::size_t kBlocks = 200;

SiteConfig MakeConfig(int engines) {
  SiteConfig config;
  config.services[kService].id = kService;
  for (int i = 0; i < engines; ++i) {
    EngineConfig engine;
    engine.id = EngineId(fmt::format("engine-{:05}", i));
    engine.service = kService;
    engine.failure_domain =
        FailureDomain(fmt::format("d{}", i % kFailureDomains));
    engine.memory = TokenCount(400'000);
    config.engines[engine.id] = engine;
  }
  return config;
}

RouteRequest MakeRequest(const Clock& clock, SeededRandom& random, int number) {
  RouteRequest request;
  request.service = kService;
  request.attempt = AttemptId(fmt::format("attempt-{}", number));
  request.prompt_tokens = TokenCount(1'000 + random.NextBelow(50'000));
  request.max_output_tokens = TokenCount(100);
  request.arrival = clock.Now();
  request.deadline = clock.Now() + std::chrono::minutes(10);
  for (std::size_t i = 0; i < kBlocks; ++i) {
    request.block_digests.push_back(random.Next());
  }
  return request;
}

/// A router that has a report of every engine of its subset and attempts in
/// flight.
struct RouterFixture {
  explicit RouterFixture(int engines)
      : router({InstanceId("entry-0"), FailureDomain("d0")}, clock, random) {
    router.ApplyConfig(MakeConfig(engines));
    for (const EngineAddress& engine : router.Subset()) {
      EngineReport report;
      report.free_memory = TokenCount(300'000);
      report.total_memory = TokenCount(400'000);
      report.waiting_prefill_tokens = TokenCount(random.NextBelow(50'000));
      report.running_streams = 10;
      report.prefill_rate = 20'000;
      report.decode_rate = 20;
      router.OnReport(engine.id, report);
    }
    for (int i = 0; i < kRunningAttempts; ++i) {
      const RouteRequest request = MakeRequest(clock, random, i);
      if (const auto route = router.Choose(request)) {
        router.OnDispatched(request, *route);
        router.OnProgress(request.attempt, i % 2);
      }
    }
  }

  fakes::ManualClock clock;
  SeededRandom random{5};
  Router router;
};

void BenchChoose(benchmark::State& state) {
  RouterFixture fixture(static_cast<int>(state.range(0)));
  const RouteRequest request = MakeRequest(fixture.clock, fixture.random, -1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(fixture.router.Choose(request));
  }
  state.counters["subset"] =
      static_cast<double>(fixture.router.Subset().size());
  state.counters["memory_kB"] =
      static_cast<double>(fixture.router.MemoryBytes()) / 1000;
}

void BenchReport(benchmark::State& state) {
  RouterFixture fixture(static_cast<int>(state.range(0)));
  const EngineId engine = fixture.router.Subset().front().id;
  EngineReport report;
  for (int i = 0; i < kRunningAttempts; ++i) {
    report.counted_attempts.emplace_back(fmt::format("attempt-{}", i));
  }
  for (auto _ : state) {
    ++report.sequence;
    fixture.router.OnReport(engine, report);
  }
}

void BenchApplyConfig(benchmark::State& state) {
  RouterFixture fixture(static_cast<int>(state.range(0)));
  const SiteConfig config = MakeConfig(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    fixture.router.ApplyConfig(config);
  }
}

BENCHMARK(BenchChoose)
    ->Arg(24)
    ->Arg(280)
    ->Arg(2800)
    ->Repetitions(9)
    ->ReportAggregatesOnly()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(BenchReport)->Arg(24)->Arg(2800)->Unit(benchmark::kMicrosecond);
BENCHMARK(BenchApplyConfig)->Arg(24)->Arg(2800)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace kingcupdrift

BENCHMARK_MAIN();
