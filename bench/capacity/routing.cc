// Measures the time and memory of routing decisions against the number of
// engines of the site.

#include <string>
#include <vector>

#include "bench/capacity/scaling_measurement.h"
#include "kingcupdrift/routing/routing.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

constexpr double kPlannedEngines = 2800;
constexpr int kDecisions = 20'000;
constexpr int kBlocks = 32;

SiteConfig MakeConfig(int engines) {
  SiteConfig config;
  ServiceConfig service;
  service.id = ServiceId("lm");
  config.services.emplace(service.id, service);
  for (int i = 0; i < engines; ++i) {
    EngineConfig engine;
    engine.id = EngineId(fmt::format("engine-{:05}", i));
    engine.service = service.id;
    engine.endpoint = Endpoint{"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
    engine.failure_domain = FailureDomain(fmt::format("d{}", i % 4));
    engine.memory = TokenCount(400'000);
    config.engines.emplace(engine.id, engine);
  }
  return config;
}

EngineReport IdleReport() {
  EngineReport report;
  report.free_memory = TokenCount(400'000);
  report.total_memory = TokenCount(400'000);
  report.prefill_rate = 20'000;
  report.decode_rate = 50;
  return report;
}

RouteRequest MakeRequest(int index, MonotonicTime now) {
  RouteRequest request;
  request.service = ServiceId("lm");
  request.attempt = AttemptId(fmt::format("attempt-{}", index));
  request.prompt_tokens = TokenCount(1000 + 37 * (index % 1000));
  request.max_output_tokens = TokenCount(256);
  for (int i = 0; i < kBlocks; ++i) {
    request.block_digests.push_back(static_cast<std::uint64_t>(index % 500) *
                                        1000 +
                                    static_cast<std::uint64_t>(i));
  }
  request.arrival = now;
  request.deadline = now + std::chrono::minutes(5);
  return request;
}

}  // namespace

std::vector<ScalingMeasurement> MeasureRouting() {
  const std::string part = "routing";
  ScalingMeasurement time{part, "time of a decision with its bookkeeping",
                          "us", "engine",
                          {},   kPlannedEngines};
  ScalingMeasurement heap{
      part, "heap after 20,000 decisions", "B", "engine", {}, kPlannedEngines};
  ScalingMeasurement polled{part, "engines polled", "count", "engine",
                            {},   kPlannedEngines};
  for (const int count : {24, 280, 2800}) {
    const SiteConfig config = MakeConfig(count);
    const std::size_t heap_before = HeapBytes();
    fakes::ManualClock clock;
    SeededRandom random(1);
    RouterSettings settings;
    settings.instance = InstanceId("self");
    Router router(settings, clock, random);
    router.ApplyConfig(config);
    const std::vector<EngineAddress> subset = router.Subset();
    for (const EngineAddress& it : subset) {
      router.OnReport(it.id, IdleReport());
    }
    double cpu_seconds = 0;
    for (int i = 0; i < kDecisions; ++i) {
      const RouteRequest request = MakeRequest(i, clock.Now());
      const double before = CpuSeconds();
      const Result<Route> route = router.Choose(request);
      if (route) {
        router.OnDispatched(request, *route);
        router.OnAccepted(request.attempt, TokenCount(0));
        router.OnProgress(request.attempt, 1);
        router.OnEnded(request.attempt, AttemptResult::kSuccess);
      }
      cpu_seconds += CpuSeconds() - before;
    }
    const auto size = static_cast<double>(count);
    time.samples.push_back({size, 1e6 * cpu_seconds / kDecisions});
    heap.samples.push_back(
        {size, static_cast<double>(HeapBytes() - heap_before)});
    polled.samples.push_back({size, static_cast<double>(subset.size())});
  }
  return {time, heap, polled};
}

}  // namespace kingcupdrift
