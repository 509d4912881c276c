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

/// The engines that a policy may choose from for one request.
class CandidateView {
 public:
  virtual ~CandidateView() = default;

  virtual std::size_t size() const = 0;
  /// Requests in flight at candidate `i`: as last reported, plus those that
  /// this entry (the serving process) sent and other entries announced since.
  virtual std::uint32_t InFlight(std::size_t i) const = 0;
  virtual RouteEstimate Estimate(std::size_t i) const = 0;
  /// Returns whether dispatch notes of other entries arrived lately, so that
  /// estimates include what these entries sent.
  virtual bool HasFreshNotes() const = 0;
  /// Returns the candidate with the longest cached prefix of the prompt, if any
  /// has one.
  virtual std::optional<std::size_t> FindLongestCachedPrefix() const = 0;
};

/// Chooses among the engines that may take a request.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  virtual std::string_view Name() const = 0;
  /// Returns the index of the chosen candidate. `view` must not be empty.
  virtual std::size_t Choose(const RouteRequest& request,
                             const ServiceConfig& service,
                             const CandidateView& view,
                             Random& random) = 0;
  /// Returns whether the engine priority of a request depends on its length.
  virtual bool UsesLengthPriority() const { return false; }
};

/// `kSplit` serves short and long prompts on separate engines.
enum class RoutingPolicyKind { kCost, kRandom, kLeastInFlight, kSplit };

/// Makes one of the built-in policies. kCost is the default for model services;
/// kLeastInFlight serves plain services; kRandom and kSplit are baselines for
/// measurements.
std::unique_ptr<RoutingPolicy> MakeRoutingPolicy(RoutingPolicyKind kind);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_ROUTING_POLICY_H_
