#ifndef TESTS_ROUTING_ROUTING_HARNESS_H_
#define TESTS_ROUTING_ROUTING_HARNESS_H_

#include <string>

#include "kingcupdrift/routing/routing.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {

/// A router over `n` engines of one service, with a manual clock.
class RoutingHarness {
 public:
  static constexpr TokenCount kEngineMemory{400'000};

  explicit RoutingHarness(int n,
                          RoutingPolicyKind policy = RoutingPolicyKind::kCost,
                          std::size_t max_subset = 64);

  static EngineId MakeEngineId(int i);
  /// Returns the report of an idle engine.
  static EngineReport MakeIdleReport();

  RouteRequest MakeRequest(std::int64_t prompt_tokens);
  /// Records a dispatch of the request to engine `i` with the highest engine
  /// priority.
  void Dispatch(const RouteRequest& request, int i);
  /// Passes the same report to the router for every engine.
  void ReportAll(const EngineReport& report);

  fakes::ManualClock clock;
  SeededRandom random{7};
  SiteConfig config;
  Router router;

 private:
  int next_attempt_ = 0;
};

}  // namespace kingcupdrift

#endif  // TESTS_ROUTING_ROUTING_HARNESS_H_
