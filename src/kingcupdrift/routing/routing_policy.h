#ifndef KINGCUPDRIFT_ROUTING_ROUTING_POLICY_H_
#define KINGCUPDRIFT_ROUTING_ROUTING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/routing/route.h"

namespace kingcupdrift {

/// The engines that may take a request, as a policy sees them.
class CandidateView {
 public:
  virtual ~CandidateView() = default;

  virtual std::size_t size() const = 0;
  /// Requests in flight at candidate `i`: as last reported, plus those that
  /// this entry sent since.
  virtual std::uint32_t InFlight(std::size_t i) const = 0;
  virtual RouteEstimate Estimate(std::size_t i) const = 0;
  /// Other entries lately told what they sent, so that estimates are current.
  virtual bool HasFreshNotes() const = 0;
  /// Candidate with the longest cached prefix, if one is known.
  virtual std::optional<std::size_t> FindLongestCachedPrefix() const = 0;
};

/// Chooses among the engines that may take a request.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  virtual std::string_view Name() const = 0;
  /// Index of the chosen candidate; `view` is not empty.
  virtual std::size_t Choose(const RouteRequest& request,
                             const ServiceConfig& service,
                             const CandidateView& view,
                             Random& random) = 0;
  /// Whether engines get priorities that depend on a request's length.
  virtual bool UsesLengthPriority() const { return false; }
};

enum class RoutingPolicyKind { kCost, kRandom, kLeastInFlight, kSplit };

/// Makes one of the built-in policies. kCost is the product's choice; the
/// others are baselines for measurements.
std::unique_ptr<RoutingPolicy> MakeRoutingPolicy(RoutingPolicyKind kind);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_ROUTING_POLICY_H_
