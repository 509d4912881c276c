#include "kingcupdrift/routing/outlier_ejector.h"

#include <algorithm>

namespace kingcupdrift {
namespace {

/// Limit of doublings of an ejection; by then it has reached its maximum
/// length.
constexpr int kMaxDoublings = 8;

}  // namespace

OutlierEjector::OutlierEjector(const Clock& clock, double max_share)
    : clock_(clock), max_share_(max_share) {}

void OutlierEjector::SetEngines(std::set<EngineId> engines) {
  std::erase_if(records_, [&](const auto& item) {
    return !engines.contains(item.first);
  });
  for (const EngineId& engine : engines) {
    records_.try_emplace(engine);
  }
}

void OutlierEjector::OnSuccess(const EngineId& engine) {
  const auto it = records_.find(engine);
  if (it != records_.end()) {
    it->second = Record{};
  }
}

void OutlierEjector::OnFault(const EngineId& engine) {
  const auto it = records_.find(engine);
  if (it == records_.end() || IsEjected(engine)) {
    return;
  }
  Record& record = it->second;
  ++record.consecutive_faults;
  if (record.consecutive_faults < kFaultsToEject || !CanEjectMore()) {
    return;
  }
  const int doublings = std::min(record.ejections, kMaxDoublings);
  const Duration ejection =
      std::min(kMaxEjection, kMinEjection * (1 << doublings));
  record.ejected_until = clock_.Now() + ejection;
  last_ejection_end_ = std::max(last_ejection_end_, record.ejected_until);
  // A single fault after the ejection ejects the engine again.
  record.consecutive_faults = kFaultsToEject - 1;
  ++record.ejections;
}

bool OutlierEjector::IsEjected(const EngineId& engine) const {
  const auto it = records_.find(engine);
  return it != records_.end() && clock_.Now() < it->second.ejected_until;
}

std::size_t OutlierEjector::EjectedCount() const {
  const MonotonicTime now = clock_.Now();
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(),
      [&](const auto& item) { return now < item.second.ejected_until; }));
}

bool OutlierEjector::CanEjectMore() const {
  const auto limit = static_cast<std::size_t>(
      max_share_ * static_cast<double>(records_.size()));
  return EjectedCount() < limit;
}

}  // namespace kingcupdrift
