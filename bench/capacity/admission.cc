// Measures the time and memory of admission against the number of workspaces,
// with the usage of all workspaces received from 7 peers.

#include <memory>
#include <string>
#include <vector>

#include "bench/capacity/scaling_measurement.h"
#include "kingcupdrift/admission/admission.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

constexpr double kPlannedWorkspaces = 8900;
constexpr int kRequests = 200'000;
constexpr int kPeers = 7;

SiteConfig MakeConfig(int workspaces) {
  SiteConfig config;
  ServiceConfig service;
  service.id = ServiceId("lm");
  service.max_queued = 1'000'000;
  config.services.emplace(service.id, service);
  for (int i = 0; i < workspaces; ++i) {
    WorkspaceConfig workspace;
    workspace.id = WorkspaceId(fmt::format("workspace-{:05}", i));
    workspace.requests_per_second = 1e9;
    workspace.tokens_per_second = 1e15;
    config.workspaces.emplace(workspace.id, workspace);
  }
  return config;
}

std::vector<WorkspaceUsage> UsageOfAll(const SiteConfig& config) {
  std::vector<WorkspaceUsage> usage;
  for (const auto& [id, workspace] : config.workspaces) {
    usage.push_back({id, 100, 100'000});
  }
  return usage;
}

}  // namespace

std::vector<ScalingMeasurement> MeasureAdmission() {
  const std::string part = "admission";
  ScalingMeasurement time{part, "time of one admission", "us", "workspace",
                          {},   kPlannedWorkspaces};
  ScalingMeasurement heap{part, "heap with the usage of 7 peers",
                          "B",  "workspace",
                          {},   kPlannedWorkspaces};
  for (const int count : {10, 1000, 8900}) {
    const SiteConfig config = MakeConfig(count);
    const std::size_t heap_before = HeapBytes();
    fakes::ManualClock clock;
    AdmissionController admission(clock, InstanceId("self"));
    admission.ApplyConfig(config);
    for (int peer = 0; peer < kPeers; ++peer) {
      admission.OnPeerUsage(InstanceId(fmt::format("peer-{}", peer)),
                            UsageOfAll(config));
    }
    const double before = CpuSeconds();
    auto it = config.workspaces.begin();
    for (int i = 0; i < kRequests; ++i) {
      AdmissionRequest request;
      request.workspace = it->first;
      request.service = ServiceId("lm");
      request.tokens = TokenCount(1000);
      request.deadline = clock.Now() + std::chrono::seconds(60);
      if (admission.Admit(request)) {
        admission.OnStarted(request);
      }
      if (++it == config.workspaces.end()) {
        it = config.workspaces.begin();
      }
    }
    const auto size = static_cast<double>(count);
    time.samples.push_back({size, 1e6 * (CpuSeconds() - before) / kRequests});
    heap.samples.push_back(
        {size, static_cast<double>(HeapBytes() - heap_before)});
  }
  return {time, heap};
}

}  // namespace kingcupdrift
