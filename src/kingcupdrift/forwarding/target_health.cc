#include "kingcupdrift/forwarding/target_health.h"

#include <algorithm>

namespace kingcupdrift {

void TargetHealth::OnSuccess(const EngineId& target) {
  rows_.erase(target);
}

void TargetHealth::OnFailure(const EngineId& target) {
  Row& row = rows_[target];
  const int doublings = std::min(row.failures, 8);
  const Duration doubt = std::min(kMinDoubt * (1 << doublings), kMaxDoubt);
  ++row.failures;
  row.doubted_until = clock_.Now() + doubt;
}

void TargetHealth::OnDown(const EngineId& target) {
  Row& row = rows_[target];
  row.down_until = clock_.Now() + kDownDoubt;
  row.doubted_until = std::max(row.doubted_until, row.down_until);
}

bool TargetHealth::IsDown(const EngineId& target) const {
  const auto it = rows_.find(target);
  return it != rows_.end() && clock_.Now() < it->second.down_until;
}

bool TargetHealth::IsDoubted(const EngineId& target) const {
  const auto it = rows_.find(target);
  return it != rows_.end() && clock_.Now() < it->second.doubted_until;
}

}  // namespace kingcupdrift
