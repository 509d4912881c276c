#include "kingcupdrift/forwarding/internal/overdue_allowance.h"

#include <cmath>

namespace kingcupdrift {

bool OverdueAllowance::TryTake(const ServiceId& service, std::size_t entries) {
  Usage& usage = usage_by_service_[service];
  const MonotonicTime now = clock_.Now();
  const Duration window = budget_.settings().window;
  while (!usage.taken.empty() && usage.taken.front() < now - window) {
    usage.taken.pop_front();
  }
  if (!usage.drawn_at || now - *usage.drawn_at >= window) {
    usage.drawn_at = now;
    usage.draw = random_.NextDouble();
  }
  const double limit =
      std::floor(kBudgetPart * budget_.GetLimit(service, entries) + usage.draw);
  if (static_cast<double>(usage.taken.size()) + 1 > limit ||
      !budget_.TryTake(service, entries)) {
    return false;
  }
  usage.taken.push_back(now);
  return true;
}

}  // namespace kingcupdrift
