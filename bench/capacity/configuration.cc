// Measures the size of a site's configuration, the time to check and merge it,
// and the heap it takes in force.

#include <memory>
#include <string>

#include "bench/capacity/scaling_measurement.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift {
namespace {

constexpr double kPlannedWorkspaces = 2967;
constexpr double kPlannedEngines = 934;
constexpr int kRepeats = 5;
const SiteId kSite("great-lakes");

constexpr const char* kBase = R"(format = 1
[sites.great-lakes]
failure_domains = ["gl-a", "gl-b", "gl-c", "gl-d"]
[services.lm-pool]
kind = "model"
model = "lm"
)";

std::string MakeOverlay(int workspaces, int engines) {
  std::string text = "format = 1\n";
  for (int i = 0; i < engines; ++i) {
    text += fmt::format(
        "[engines.engine-{:05}]\nservice = \"lm-pool\"\n"
        "endpoint = \"10.1.{}.{}:8000\"\nfailure_domain = \"gl-{}\"\n",
        i, i / 250, i % 250 + 1, "abcd"[i % 4]);
  }
  for (int i = 0; i < workspaces; ++i) {
    const std::string name = fmt::format("workspace-{:05}", i);
    text += fmt::format(
        "[workspaces.{}]\ntoken_digest = \"{}\"\n"
        "requests_per_second = 50\n",
        name, ComputeSha256Hex(name));
  }
  return text;
}

struct Measurement {
  double bytes = 0;
  double parse_ms = 0;
  double heap_bytes = 0;
};

Measurement MeasureOverlay(int workspaces, int engines) {
  const std::string overlay = MakeOverlay(workspaces, engines);
  Measurement measurement;
  measurement.bytes = static_cast<double>(overlay.size());
  double best = 1e9;
  for (int i = 0; i < kRepeats; ++i) {
    const double before = CpuSeconds();
    const auto parsed = ParseSiteConfig(kBase, overlay, kSite);
    best = std::min(best, CpuSeconds() - before);
    if (!parsed) {
      fmt::print(stderr, "the generated configuration is invalid at key: {}\n",
                 parsed.error().front().key);
    }
  }
  measurement.parse_ms = 1000 * best;
  const std::size_t heap_before = HeapBytes();
  const auto site_config = ParseSiteConfig(kBase, overlay, kSite);
  measurement.heap_bytes = static_cast<double>(HeapBytes() - heap_before);
  return measurement;
}

}  // namespace

std::vector<ScalingMeasurement> MeasureConfiguration() {
  const std::string part = "configuration of a site";
  ScalingMeasurement bytes{part,        "overlay", "B",
                           "workspace", {},        kPlannedWorkspaces};
  ScalingMeasurement parse{part, "time to check and merge", "ms", "workspace",
                           {},   kPlannedWorkspaces};
  ScalingMeasurement heap{part, "heap of the merged configuration",
                          "B",  "workspace",
                          {},   kPlannedWorkspaces};
  for (const int count : {10, 300, 1000, 2967}) {
    const Measurement measurement = MeasureOverlay(count, 24);
    const auto size = static_cast<double>(count);
    bytes.samples.push_back({size, measurement.bytes});
    parse.samples.push_back({size, measurement.parse_ms});
    heap.samples.push_back({size, measurement.heap_bytes});
  }
  ScalingMeasurement engine_parse{
      part, "time to check and merge", "ms", "engine", {}, kPlannedEngines};
  ScalingMeasurement engine_heap{part, "heap of the merged configuration",
                                 "B",  "engine",
                                 {},   kPlannedEngines};
  for (const int count : {24, 280, 934}) {
    const Measurement measurement = MeasureOverlay(10, count);
    const auto size = static_cast<double>(count);
    engine_parse.samples.push_back({size, measurement.parse_ms});
    engine_heap.samples.push_back({size, measurement.heap_bytes});
  }
  return {bytes, parse, heap, engine_parse, engine_heap};
}

}  // namespace kingcupdrift
