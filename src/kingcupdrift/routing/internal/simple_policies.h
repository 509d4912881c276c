#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_SIMPLE_POLICIES_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_SIMPLE_POLICIES_H_

#include "kingcupdrift/routing/routing_policy.h"

namespace kingcupdrift {

/// Chooses any candidate with equal probability.
class RandomPolicy : public RoutingPolicy {
 public:
  std::string_view Name() const override { return "random"; }
  std::size_t Choose(const RouteRequest& request,
                     const ServiceConfig& service,
                     const CandidateView& view,
                     Random& random) override;
};

/// Chooses the candidate with the fewest requests in flight, and among equals
/// at random.
class LeastInFlightPolicy : public RoutingPolicy {
 public:
  std::string_view Name() const override { return "least-in-flight"; }
  std::size_t Choose(const RouteRequest& request,
                     const ServiceConfig& service,
                     const CandidateView& view,
                     Random& random) override;
};

/// Serves short prompts on some candidates and long ones on the others, each on
/// the one with the fewest requests in flight. The share of candidates for
/// short prompts follows these prompts' learned share of the prompt tokens,
/// with hysteresis.
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
  double short_candidate_share_ = 0.3;
  /// Learned share of prompt tokens that belong to short prompts.
  double short_token_share_ = 0.3;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_SIMPLE_POLICIES_H_
