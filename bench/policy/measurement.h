#ifndef BENCH_POLICY_MEASUREMENT_H_
#define BENCH_POLICY_MEASUREMENT_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/fakes/load_simulation.h"

namespace kingcupdrift {

/// A policy with its settings; one group of rows in the printed table.
struct PolicyCase {
  std::string name;
  RoutingPolicyKind kind = RoutingPolicyKind::kCost;
  /// As in LoadSimulationOptions, and the weights too.
  bool forces_length_priority = false;
  double own_time_weight = 1;
  double inflicted_delay_weight = 1;
  /// Interval at which entries (serving processes) send each other dispatch
  /// notes; zero: never.
  Duration note_interval{0};
};

/// Returns the cost policy with and without notes, each with the weights (own
/// time, inflicted delay) used by Esmaltario, (2, 1), and Bedfinder, (1, 2),
/// and the baseline policies.
std::vector<PolicyCase> ListPolicyCases();

/// Median and range over the seeds.
struct Spread {
  double low = 0;
  double median = 0;
  double high = 0;
};

/// Results of one prompt length band, over the seeds. Times are in seconds.
struct BandSummary {
  Spread first_token_p50;
  Spread first_token_p95;
  Spread first_token_p99;
  /// 95th percentile of each request's slowdown.
  Spread slowdown_p95;
  /// Ratio of the 95th percentiles of the time to first token and of its time
  /// on an idle engine. The latter is computed for each request: uncached
  /// tokens over the prefill rate, at least one block.
  Spread ratio_of_p95;
  Spread refused_share;
  /// Share of the offered requests that were admitted but not completed.
  Spread missed_deadline_share;
};

struct CaseSummary {
  std::array<BandSummary, fakes::kPromptLengthBands> bands;
  /// Goodput in prompt tokens, as a share of the capacity.
  Spread goodput;
  Spread cached_share;
  /// Number of requests in one run that were admitted but not completed.
  Spread unfinished_requests;
};

struct MeasurementOptions {
  /// Offered load as a share of the capacity.
  double load = 0.8;
  int seeds = 5;
  int threads = 4;
  /// Time between two reports of one engine to one entry.
  Duration poll_interval = std::chrono::milliseconds(250);
};

/// Returns the capacity of the whole fleet in prompt tokens a second.
double MeasureFleetCapacity();

/// Runs every case with every seed. Returns one summary for each case.
std::vector<CaseSummary> Measure(const std::vector<PolicyCase>& cases,
                                 const MeasurementOptions& options,
                                 double capacity);

}  // namespace kingcupdrift

#endif  // BENCH_POLICY_MEASUREMENT_H_
