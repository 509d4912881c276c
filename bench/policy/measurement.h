#ifndef BENCH_POLICY_MEASUREMENT_H_
#define BENCH_POLICY_MEASUREMENT_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/fakes/load_simulation.h"

namespace kingcupdrift {

/// A policy with its settings, as one group of rows of the table.
struct PolicyCase {
  std::string name;
  RoutingPolicyKind kind = RoutingPolicyKind::kCost;
  bool forces_length_priority = false;
  double own_time_weight = 1;
  double inflicted_delay_weight = 1;
  /// Entries tell each other what they dispatched; zero: they do not.
  Duration note_interval{0};
};

/// Both users' weights of the product's policy, and the baselines.
std::vector<PolicyCase> AllPolicyCases();

/// Median and range over the seeds.
struct Spread {
  double low = 0;
  double median = 0;
  double high = 0;
};

/// What one band experienced, over the seeds.
struct BandSummary {
  Spread first_token_p50;
  Spread first_token_p95;
  Spread first_token_p99;
  /// 95th percentile of each request's slowdown.
  Spread slowdown_p95;
  /// 95th percentile of the time to first token over that of an empty fleet.
  Spread ratio_of_p95;
  Spread refused_share;
  Spread late_share;
};

struct CaseSummary {
  std::array<BandSummary, fakes::kPromptLengthBands> bands;
  /// Useful prompt tokens over the capacity.
  Spread goodput;
  Spread cached_share;
  Spread late_total;
};

struct MeasurementOptions {
  /// Offered load as a share of the capacity.
  double load = 0.8;
  int seeds = 5;
  int threads = 4;
  /// Time between two reports of one engine to one entry.
  Duration poll_interval = std::chrono::milliseconds(250);
};

/// Prompt tokens a second of the whole fleet.
double FleetCapacity();

/// Runs every case with every seed; one summary for each case.
std::vector<CaseSummary> Measure(const std::vector<PolicyCase>& cases,
                                 const MeasurementOptions& options,
                                 double capacity);

}  // namespace kingcupdrift

#endif  // BENCH_POLICY_MEASUREMENT_H_
