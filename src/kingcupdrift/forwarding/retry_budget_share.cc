#include "kingcupdrift/forwarding/retry_budget_share.h"

#include <algorithm>

namespace kingcupdrift {

void RetryBudgetShare::CountRequest(const ServiceId& service) {
  std::deque<MonotonicTime>& requests = usage_by_service_[service].requests;
  Expire(requests);
  requests.push_back(clock_.Now());
}

double RetryBudgetShare::GetLimit(const ServiceId& service,
                                  std::size_t entries) {
  ServiceUsage& usage = usage_by_service_[service];
  Expire(usage.requests);
  const double extra_share =
      static_cast<double>(settings_.extra) /
      static_cast<double>(std::max<std::size_t>(entries, 1));
  const double from_requests =
      settings_.ratio * static_cast<double>(usage.requests.size());
  return kUsableShare * (extra_share + from_requests);
}

bool RetryBudgetShare::TryTake(const ServiceId& service, std::size_t entries) {
  const double limit = GetLimit(service, entries);
  ServiceUsage& usage = usage_by_service_[service];
  Expire(usage.sends);
  if (static_cast<double>(usage.sends.size()) + 1 > limit) {
    return false;
  }
  usage.sends.push_back(clock_.Now());
  return true;
}

void RetryBudgetShare::Expire(std::deque<MonotonicTime>& times) const {
  const MonotonicTime oldest = clock_.Now() - settings_.window;
  while (!times.empty() && times.front() < oldest) {
    times.pop_front();
  }
}

}  // namespace kingcupdrift
