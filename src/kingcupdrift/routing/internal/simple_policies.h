#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_SIMPLE_POLICIES_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_SIMPLE_POLICIES_H_

#include "kingcupdrift/routing/routing_policy.h"

namespace kingcupdrift {

/// Any candidate with equal probability.
class RandomPolicy : public RoutingPolicy {
 public:
  std::string_view Name() const override { return "random"; }
  std::size_t Choose(const RouteRequest& request,
                     const ServiceConfig& service,
                     const CandidateView& view,
                     Random& random) override;
};

/// The candidate with the fewest requests in flight; ties by chance.
class LeastInFlightPolicy : public RoutingPolicy {
 public:
  std::string_view Name() const override { return "least-in-flight"; }
  std::size_t Choose(const RouteRequest& request,
                     const ServiceConfig& service,
                     const CandidateView& view,
                     Random& random) override;
};

/// Some candidates for short prompts, the others for long ones, each used by
/// fewest in flight. The boundary follows the load with hysteresis.
class SplitPolicy : public RoutingPolicy {
 public:
  static constexpr TokenCount kLongPrompt{32'000};

  std::string_view Name() const override { return "split"; }
  std::size_t Choose(const RouteRequest& request,
                     const ServiceConfig& service,
                     const CandidateView& view,
                     Random& random) override;

 private:
  /// Share of the candidates that serve short prompts.
  double short_share_ = 0.3;
  /// Learned share of the work that is short.
  double short_work_ = 0.3;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_SIMPLE_POLICIES_H_
