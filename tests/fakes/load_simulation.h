#ifndef TESTS_FAKES_LOAD_SIMULATION_H_
#define TESTS_FAKES_LOAD_SIMULATION_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/routing/routing.h"
#include "tests/fakes/engine_model.h"
#include "tests/fakes/workload.h"

namespace kingcupdrift::fakes {

/// One run of the core's decisions over model engines with a paused clock.
struct LoadSimulationOptions {
  RoutingPolicyKind policy = RoutingPolicyKind::kCost;
  bool forces_length_priority = false;
  double own_time_weight = 1;
  double inflicted_delay_weight = 1;
  int entries = 6;
  int engines = 24;
  int failure_domains = 3;
  /// Offered prompt tokens a second.
  double offered_rate = 0;
  Duration warm_up = std::chrono::seconds(60);
  Duration measured = std::chrono::seconds(300);
  Duration poll_interval = std::chrono::milliseconds(250);
  /// Time between the notes of dispatches that entries send each other; zero:
  /// none are sent.
  Duration note_interval{0};
  Duration note_latency = std::chrono::milliseconds(1);
  /// Loses every engine of one failure domain at this time; zero: none.
  Duration domain_loss_time{0};
  std::uint64_t seed = 1;
  WorkloadOptions workload;
  EngineModelOptions engine = DefaultEngine();

  /// Members of a group add memory and no speed: the model does not charge
  /// them for their work, so speed would be a gift.
  static EngineModelOptions DefaultEngine();
};

/// What requests of one band experienced; times in seconds.
struct PromptLengthBandResult {
  std::vector<double> first_token;
  /// Time to first token over that of the same request on an idle engine with
  /// the same cached prefix.
  std::vector<double> slowdown;
  std::uint64_t offered = 0;
  std::uint64_t refused = 0;
  /// Admitted, but not completed within the limit.
  std::uint64_t missed_deadline = 0;
};

struct LoadSimulationResult {
  std::array<PromptLengthBandResult, kPromptLengthBands> bands;
  /// Prompt tokens a second of requests that completed within their limit.
  double goodput = 0;
  /// Share of the prompt tokens that came from the prefix caches.
  double cached_share = 0;
  std::uint64_t retries = 0;
  std::uint64_t failed = 0;
};

LoadSimulationResult SimulateLoad(const LoadSimulationOptions& options);

/// Prompt tokens a second that one engine completes while its queue is never
/// empty, with a cold cache and prompts that fit its memory.
double MeasureEngineCapacity(const LoadSimulationOptions& options);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_LOAD_SIMULATION_H_
