#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_SERVICE_POLICIES_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_SERVICE_POLICIES_H_

#include <map>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/routing/routing.h"

namespace kingcupdrift {

/// Retry budget and hedging statistics of each service. Times to first token
/// are added to the statistics, but the entry sends no hedges.
class ServicePolicies {
 public:
  /// Sets the retry ratios and drops the state of removed services.
  void ApplyConfig(const SiteConfig& config);

  /// Both create a service's state on first use.
  RetryBudget& GetRetryBudget(const ServiceId& service);
  HedgePolicy& GetHedgePolicy(const ServiceId& service);

 private:
  struct State {
    RetryBudget retry_budget{0};
    HedgePolicy hedge_policy;
  };

  std::map<ServiceId, State> states_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_SERVICE_POLICIES_H_
