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
ABSL_FLAG(std::string,
          policy,
          "",
          "Measure only policies whose name contains this text");
ABSL_FLAG(int, seeds, 5, "Seeds for each policy and load: 1 to this number");
ABSL_FLAG(int, poll_ms, 250, "Time between two reports of an engine, in ms");
ABSL_FLAG(int, threads, 4, "Number of concurrent runs");

namespace kingcupdrift {
namespace {

std::string FormatSpread(const Spread& spread) {
  return fmt::format("{:.2f} [{:.2f} {:.2f}]", spread.median, spread.low,
                     spread.high);
}

std::string FormatPercent(const Spread& spread) {
  return fmt::format("{:.1f}%", 100 * spread.median);
}

void PrintHeader() {
  fmt::print(
      "| load | policy | band | first token p50 s | p95 s | p99 s | "
      "slowdown p95 | p95 / p95 on an idle engine (computed) | refused | "
      "admitted but not completed | goodput |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void PrintCase(const std::string& load,
               const PolicyCase& policy,
               const CaseSummary& summary) {
  for (std::size_t i = 0; i < fakes::kPromptLengthBands; ++i) {
    const BandSummary& band = summary.bands[i];
    fmt::print(
        "| {}% | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", load,
        policy.name, fakes::GetPromptLengthBandName(i),
        FormatSpread(band.first_token_p50), FormatSpread(band.first_token_p95),
        FormatSpread(band.first_token_p99), FormatSpread(band.slowdown_p95),
        FormatSpread(band.ratio_of_p95), FormatPercent(band.refused_share),
        FormatPercent(band.missed_deadline_share),
        i == 0 ? FormatSpread(summary.goodput) : "");
  }
  fmt::print("<!-- cached {}, admitted but not completed {} -->\n",
             FormatPercent(summary.cached_share),
             FormatSpread(summary.unfinished_requests));
}

void Run() {
  std::vector<PolicyCase> cases;
  for (const PolicyCase& policy : ListPolicyCases()) {
    if (policy.name.find(absl::GetFlag(FLAGS_policy)) != std::string::npos) {
      cases.push_back(policy);
    }
  }
  const double capacity = MeasureFleetCapacity();
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
