#include "kingcupdrift/forwarding/internal/served_ratios.h"

#include <algorithm>
#include <cmath>

namespace kingcupdrift {
namespace {

double GetDecay(Duration age) {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(ServedRatios::kHalfLife.count()));
}

}  // namespace

ServedRatios::Counts& ServedRatios::Refresh(const ServiceId& service,
                                            int priority) {
  Counts& counts = counts_[service][priority];
  const double decay = GetDecay(clock_.Now() - counts.updated_at);
  counts.started *= decay;
  counts.lost *= decay;
  counts.updated_at = clock_.Now();
  return counts;
}

void ServedRatios::CountStart(const ServiceId& service, int priority) {
  Refresh(service, priority).started += 1;
}

void ServedRatios::CountLoss(const ServiceId& service, int priority) {
  Refresh(service, priority).lost += 1;
}

double ServedRatios::GetRatio(const Counts& counts) const {
  const double decay = GetDecay(clock_.Now() - counts.updated_at);
  const double total = (counts.started + counts.lost) * decay;
  return total < kMinCounted ? 1 : counts.started * decay / total;
}

bool ServedRatios::IsBehindLessUrgent(const ServiceId& service,
                                      int priority) const {
  const auto found = counts_.find(service);
  if (found == counts_.end() || !found->second.contains(priority)) {
    return false;
  }
  const double ratio = GetRatio(found->second.at(priority));
  return std::any_of(found->second.upper_bound(priority), found->second.end(),
                     [this, ratio](const auto& it) {
                       return GetRatio(it.second) > ratio + kMargin;
                     });
}

bool ServedRatios::IsStarved(const ServiceId& service, int priority) const {
  const auto found = counts_.find(service);
  if (found == counts_.end() || !found->second.contains(priority)) {
    return false;
  }
  const double ratio = GetRatio(found->second.at(priority));
  const auto end = found->second.find(priority);
  return end != found->second.begin() &&
         std::all_of(found->second.begin(), end, [this, ratio](const auto& it) {
           return ratio < kMinShare * GetRatio(it.second);
         });
}

}  // namespace kingcupdrift
