#include "kingcupdrift/entry/internal/service_policies.h"

namespace kingcupdrift {

void ServicePolicies::ApplyConfig(const SiteConfig& config) {
  std::erase_if(states_, [&config](const auto& it) {
    return !config.services.contains(it.first);
  });
  for (const auto& [id, service] : config.services) {
    states_[id].retry_budget.SetRatio(service.retry_ratio);
  }
}

RetryBudget& ServicePolicies::GetRetryBudget(const ServiceId& service) {
  return states_[service].retry_budget;
}

HedgePolicy& ServicePolicies::GetHedgePolicy(const ServiceId& service) {
  return states_[service].hedge_policy;
}

}  // namespace kingcupdrift
