#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "bench/policy/measurement.h"

ABSL_FLAG(std::vector<std::string>,
          loads,
          std::vector<std::string>({"50", "80", "110"}),
          "Offered loads, in percent of the capacity");
ABSL_FLAG(std::string, policy, "", "Only policies whose name contains this");
ABSL_FLAG(int, seeds, 5, "Seeds 1 to N for each cell");
ABSL_FLAG(int, poll_ms, 250, "Time between two reports of an engine, ms");
ABSL_FLAG(int, threads, 4, "Runs at the same time");

namespace kingcupdrift {
namespace {

std::string Times(const Spread& spread) {
  return fmt::format("{:.2f} [{:.2f} {:.2f}]", spread.median, spread.low,
                     spread.high);
}

std::string Percent(const Spread& spread) {
  return fmt::format("{:.1f}%", 100 * spread.median);
}

void PrintHeader() {
  fmt::print(
      "| load | policy | band | first token p50 s | p95 s | p99 s | "
      "slowdown p95 | p95 / empty p95 | refused | late | goodput |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void PrintCase(const std::string& load,
               const PolicyCase& policy,
               const CaseSummary& summary) {
  for (std::size_t i = 0; i < fakes::kPromptLengthBands; ++i) {
    const BandSummary& band = summary.bands[i];
    fmt::print("| {}% | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n",
               load, policy.name, fakes::GetPromptLengthBandName(i),
               Times(band.first_token_p50), Times(band.first_token_p95),
               Times(band.first_token_p99), Times(band.slowdown_p95),
               Times(band.ratio_of_p95), Percent(band.refused_share),
               Percent(band.late_share), i == 0 ? Times(summary.goodput) : "");
  }
  fmt::print("<!-- cached {}, late requests {} -->\n",
             Percent(summary.cached_share), Times(summary.late_total));
}

void Run() {
  std::vector<PolicyCase> cases;
  for (const PolicyCase& policy : AllPolicyCases()) {
    if (policy.name.find(absl::GetFlag(FLAGS_policy)) != std::string::npos) {
      cases.push_back(policy);
    }
  }
  const double capacity = FleetCapacity();
  fmt::print(
      "Capacity: {:.0f} prompt tokens a second; {} seeds; median [low "
      "high].\n\n",
      capacity, absl::GetFlag(FLAGS_seeds));
  PrintHeader();
  for (const std::string& load : absl::GetFlag(FLAGS_loads)) {
    MeasurementOptions options;
    options.load = std::stod(load) / 100;
    options.seeds = absl::GetFlag(FLAGS_seeds);
    options.threads = absl::GetFlag(FLAGS_threads);
    options.poll_interval =
        std::chrono::milliseconds(absl::GetFlag(FLAGS_poll_ms));
    const std::vector<CaseSummary> summaries =
        Measure(cases, options, capacity);
    for (std::size_t i = 0; i < cases.size(); ++i) {
      PrintCase(load, cases[i], summaries[i]);
    }
  }
}

}  // namespace
}  // namespace kingcupdrift

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Measures routing policies over model engines.");
  absl::ParseCommandLine(argc, argv);
  kingcupdrift::Run();
}
