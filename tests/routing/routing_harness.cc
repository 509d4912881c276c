#include "tests/routing/routing_harness.h"

#include <fmt/format.h>

#include <limits>
#include <utility>

namespace kingcupdrift {
namespace {

const ServiceId kService("lm");
constexpr int kDomains = 3;

}  // namespace

RoutingHarness::RoutingHarness(int n,
                               RoutingPolicyKind policy,
                               std::size_t max_subset)
    : router({InstanceId("entry-0"), FailureDomain("d0"), policy, false,
              max_subset},
             clock,
             random) {
  config.services[kService].id = kService;
  for (int i = 0; i < n; ++i) {
    EngineConfig engine;
    engine.id = MakeEngineId(i);
    engine.service = kService;
    engine.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
    engine.failure_domain = FailureDomain(fmt::format("d{}", i % kDomains));
    engine.memory = kEngineMemory;
    config.engines[engine.id] = std::move(engine);
  }
  router.ApplyConfig(config);
}

EngineId RoutingHarness::MakeEngineId(int i) {
  return EngineId(fmt::format("engine-{:04}", i));
}

EngineReport RoutingHarness::MakeIdleReport() {
  EngineReport report;
  report.free_memory = kEngineMemory;
  report.total_memory = kEngineMemory;
  report.prefill_rate = 10'000;
  report.decode_rate = 40;
  return report;
}

RouteRequest RoutingHarness::MakeRequest(std::int64_t prompt_tokens) {
  RouteRequest request;
  request.service = kService;
  request.attempt = AttemptId(fmt::format("attempt-{}", next_attempt_++));
  request.prompt_tokens = TokenCount(prompt_tokens);
  request.max_output_tokens = TokenCount(100);
  request.arrival = clock.Now();
  request.deadline = clock.Now() + std::chrono::minutes(10);
  return request;
}

void RoutingHarness::Dispatch(const RouteRequest& request, int i) {
  Route route;
  route.members.push_back(
      {{MakeEngineId(i), config.engines[MakeEngineId(i)].endpoint},
       request.prompt_tokens + request.max_output_tokens});
  route.engine_priority = std::numeric_limits<int>::max();
  router.OnDispatched(request, route);
}

void RoutingHarness::ReportAll(const EngineReport& report) {
  for (const auto& [id, engine] : config.engines) {
    router.OnReport(id, report);
  }
}

}  // namespace kingcupdrift
