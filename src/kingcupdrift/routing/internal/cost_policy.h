#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_COST_POLICY_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_COST_POLICY_H_

#include "kingcupdrift/routing/routing_policy.h"

namespace kingcupdrift {

/// Least weighted sum of the own time to first token and the delay inflicted on
/// others, among some random candidates and the one with the longest cached
/// prefix. Without notes from other entries few are sampled, so that entries do
/// not all choose the engine that looks best in the same old report.
class CostPolicy : public RoutingPolicy {
 public:
  static constexpr std::size_t kSampled = 8;
  static constexpr std::size_t kSampledWithNotes = 24;

  std::string_view Name() const override { return "cost"; }
  std::size_t Choose(const RouteRequest& request,
                     const ServiceConfig& service,
                     const CandidateView& view,
                     Random& random) override;
  bool UsesLengthPriority() const override { return true; }
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_COST_POLICY_H_
