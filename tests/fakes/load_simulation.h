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

/// Options of one simulation of admission, queueing and routing over model
/// engines with a manual clock.
struct LoadSimulationOptions {
  RoutingPolicyKind policy = RoutingPolicyKind::kCost;
  /// Makes baseline policies use the engine priorities of kCost.
  bool forces_length_priority = false;
  /// Weights without unit in the cost of a route: of the request's own time,
  /// and of the delay that it inflicts on others; see ServiceConfig.
  double own_time_weight = 1;
  double inflicted_delay_weight = 1;
  int entries = 6;
  int engines = 24;
  int failure_domains = 3;
  /// Offered load in prompt tokens a second.
  double offered_rate = 0;
  Duration warm_up = std::chrono::seconds(60);
  Duration measured = std::chrono::seconds(300);
  Duration poll_interval = std::chrono::milliseconds(250);
  /// Interval at which entries (serving processes) send each other dispatch
  /// notes; zero: none are sent.
  Duration note_interval{0};
  Duration note_latency = std::chrono::milliseconds(1);
  /// Time at which every engine of one failure domain is lost; zero: none is.
  Duration domain_loss_time{0};
  std::uint64_t seed = 1;
  WorkloadOptions workload;
  EngineModelOptions engine = DefaultEngine();

  /// Sends 256 tokens a chunk. Groups get no extra prefill speed
  /// (`group_efficiency` is 0), since the model does not charge the other
  /// members for the work, so that added speed would cost nothing.
  static EngineModelOptions DefaultEngine();
};

/// Results of the requests of one band of prompt lengths; times in seconds.
struct PromptLengthBandResult {
  std::vector<double> first_token;
  /// Time to first token, divided by the computed time of the same request on
  /// an idle engine with the same cached prefix, which is at least that of a
  /// block.
  std::vector<double> slowdown;
  std::uint64_t offered = 0;
  std::uint64_t refused = 0;
  /// Requests admitted but not completed, for whatever reason.
  std::uint64_t missed_deadline = 0;
};

struct LoadSimulationResult {
  std::array<PromptLengthBandResult, kPromptLengthBands> bands;
  /// Prompt tokens a second of requests completed within their time limit.
  double goodput = 0;
  /// Share of the prompt tokens found in prefix caches.
  double cached_share = 0;
  std::uint64_t retries = 0;
  /// Not filled: always 0.
  std::uint64_t failed = 0;
};

LoadSimulationResult SimulateLoad(const LoadSimulationOptions& options);

/// Returns the prompt tokens a second that one engine prefills while its queue
/// is never empty, with 40 requests outstanding, without shared prefixes and
/// with prompts of at most half its memory.
double MeasureEngineCapacity(const LoadSimulationOptions& options);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_LOAD_SIMULATION_H_
