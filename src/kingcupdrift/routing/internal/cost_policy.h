#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_COST_POLICY_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_COST_POLICY_H_

#include "kingcupdrift/routing/routing_policy.h"

namespace kingcupdrift {

/// Chooses the candidate with the least weighted sum of the request's own time
/// to first token and the delay it causes to others, among a random sample and
/// the candidate with the longest cached prefix. Without recent notes from
/// other entries the sample is small, so that entries do not all choose the
/// engine that looks best in the same old report.
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
