#include "bench/policy/measurement.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <functional>
#include <thread>

namespace kingcupdrift {
namespace {

using fakes::LoadSimulationResult;
using fakes::PromptLengthBandResult;

/// Interval at which entries send each other dispatch notes.
constexpr Duration kNoteInterval = std::chrono::milliseconds(50);

/// Measured time of loads above the capacity; longer since backlogs grow
/// slowly.
constexpr Duration kOverloadTime = std::chrono::seconds(600);

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = share * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(rank))];
}

using RunResults = std::vector<LoadSimulationResult>;
using RunValue = std::function<double(const LoadSimulationResult&)>;

Spread Summarize(const RunResults& runs, const RunValue& value) {
  std::vector<double> values;
  for (const LoadSimulationResult& run : runs) {
    values.push_back(value(run));
  }
  return {Percentile(values, 0), Percentile(values, 0.5),
          Percentile(values, 1)};
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

double RatioOfP95(const PromptLengthBandResult& band) {
  std::vector<double> idle_times;
  for (std::size_t i = 0; i < band.first_token.size(); ++i) {
    idle_times.push_back(band.first_token[i] / band.slowdown[i]);
  }
  const double idle_p95 = Percentile(std::move(idle_times), 0.95);
  return idle_p95 > 0 ? Percentile(band.first_token, 0.95) / idle_p95 : 0;
}

BandSummary SummarizeBand(const RunResults& runs, std::size_t i) {
  const auto first_token = [&](double share) {
    return Summarize(runs, [&](const LoadSimulationResult& run) {
      return Percentile(run.bands[i].first_token, share);
    });
  };
  BandSummary summary;
  summary.first_token_p50 = first_token(0.50);
  summary.first_token_p95 = first_token(0.95);
  summary.first_token_p99 = first_token(0.99);
  summary.slowdown_p95 = Summarize(runs, [&](const LoadSimulationResult& run) {
    return Percentile(run.bands[i].slowdown, 0.95);
  });
  summary.ratio_of_p95 = Summarize(runs, [&](const LoadSimulationResult& run) {
    return RatioOfP95(run.bands[i]);
  });
  summary.refused_share = Summarize(runs, [&](const LoadSimulationResult& run) {
    return Share(run.bands[i].refused, run.bands[i].offered);
  });
  summary.missed_deadline_share =
      Summarize(runs, [&](const LoadSimulationResult& run) {
        return Share(run.bands[i].missed_deadline, run.bands[i].offered);
      });
  return summary;
}

CaseSummary SummarizeCase(const RunResults& runs, double capacity) {
  CaseSummary summary;
  for (std::size_t i = 0; i < fakes::kPromptLengthBands; ++i) {
    summary.bands[i] = SummarizeBand(runs, i);
  }
  summary.goodput = Summarize(runs, [&](const LoadSimulationResult& run) {
    return run.goodput / capacity;
  });
  summary.cached_share = Summarize(
      runs, [](const LoadSimulationResult& run) { return run.cached_share; });
  summary.unfinished_requests =
      Summarize(runs, [](const LoadSimulationResult& run) {
        std::uint64_t missed_deadline = 0;
        for (const PromptLengthBandResult& band : run.bands) {
          missed_deadline += band.missed_deadline;
        }
        return static_cast<double>(missed_deadline);
      });
  return summary;
}

fakes::LoadSimulationOptions RunOptions(const PolicyCase& policy,
                                        const MeasurementOptions& measurement,
                                        double capacity,
                                        int seed) {
  fakes::LoadSimulationOptions options;
  options.policy = policy.kind;
  options.forces_length_priority = policy.forces_length_priority;
  options.own_time_weight = policy.own_time_weight;
  options.inflicted_delay_weight = policy.inflicted_delay_weight;
  options.offered_rate = measurement.load * capacity;
  options.poll_interval = measurement.poll_interval;
  if (measurement.load > 1) {
    options.measured = kOverloadTime;
  }
  options.seed = seed;
  options.note_interval = policy.note_interval;
  return options;
}

}  // namespace

std::vector<PolicyCase> ListPolicyCases() {
  return {
      {"cost, Esmaltario", RoutingPolicyKind::kCost, false, 2, 1,
       kNoteInterval},
      {"cost, Bedfinder", RoutingPolicyKind::kCost, false, 1, 2, kNoteInterval},
      {"cost without notes, Esmaltario", RoutingPolicyKind::kCost, false, 2, 1},
      {"cost without notes, Bedfinder", RoutingPolicyKind::kCost, false, 1, 2},
      {"random", RoutingPolicyKind::kRandom},
      {"least in flight", RoutingPolicyKind::kLeastInFlight},
      {"split", RoutingPolicyKind::kSplit},
      {"least in flight, priorities", RoutingPolicyKind::kLeastInFlight, true},
  };
}

double MeasureFleetCapacity() {
  fakes::LoadSimulationOptions options;
  return fakes::MeasureEngineCapacity(options) * options.engines;
}

std::vector<CaseSummary> Measure(const std::vector<PolicyCase>& cases,
                                 const MeasurementOptions& options,
                                 double capacity) {
  std::vector<RunResults> results(cases.size(), RunResults(options.seeds));
  const std::size_t total = cases.size() * options.seeds;
  std::atomic<std::size_t> next = 0;
  const auto run_next = [&] {
    for (std::size_t i = next++; i < total; i = next++) {
      const std::size_t case_index = i / options.seeds;
      const auto seed = static_cast<int>(i % options.seeds);
      results[case_index][seed] = fakes::SimulateLoad(
          RunOptions(cases[case_index], options, capacity, seed + 1));
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(options.threads);
  for (int i = 0; i < options.threads; ++i) {
    threads.emplace_back(run_next);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<CaseSummary> summaries;
  summaries.reserve(results.size());
  for (const RunResults& runs : results) {
    summaries.push_back(SummarizeCase(runs, capacity));
  }
  return summaries;
}

}  // namespace kingcupdrift
