#include "kingcupdrift/routing/routing_policy.h"

#include "kingcupdrift/routing/internal/cost_policy.h"
#include "kingcupdrift/routing/internal/simple_policies.h"

namespace kingcupdrift {

std::unique_ptr<RoutingPolicy> MakeRoutingPolicy(RoutingPolicyKind kind) {
  switch (kind) {
    case RoutingPolicyKind::kRandom:
      return std::make_unique<RandomPolicy>();
    case RoutingPolicyKind::kLeastInFlight:
      return std::make_unique<LeastInFlightPolicy>();
    case RoutingPolicyKind::kSplit:
      return std::make_unique<SplitPolicy>();
    case RoutingPolicyKind::kCost:
      break;
  }
  return std::make_unique<CostPolicy>();
}

}  // namespace kingcupdrift
