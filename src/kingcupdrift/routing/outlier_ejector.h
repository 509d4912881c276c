#ifndef KINGCUPDRIFT_ROUTING_OUTLIER_EJECTOR_H_
#define KINGCUPDRIFT_ROUTING_OUTLIER_EJECTOR_H_

#include <cstddef>
#include <map>
#include <set>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Takes engines with repeated faults out of use for a while, but never more
/// than a given share of a service's engines.
class OutlierEjector {
 public:
  /// `max_share`: largest share of `engines` that may be out at one time.
  OutlierEjector(const Clock& clock, double max_share);

  void SetEngines(std::set<EngineId> engines);
  void SetMaxShare(double max_share) { max_share_ = max_share; }
  void OnSuccess(const EngineId& engine);
  void OnFault(const EngineId& engine);

  bool IsEjected(const EngineId& engine) const;
  /// Whether any engine is out; cheap.
  bool HasEjected() const { return clock_.Now() < last_ejection_end_; }
  std::size_t EjectedCount() const;

  /// Consecutive faults that eject an engine.
  static constexpr int kFaultsToEject = 3;
  /// First time out; doubles with each further one up to `kMaxEjection`.
  static constexpr Duration kMinEjection = std::chrono::seconds(5);
  static constexpr Duration kMaxEjection = std::chrono::seconds(60);

 private:
  struct Record {
    int consecutive_faults = 0;
    int ejections = 0;
    MonotonicTime ejected_until;
  };

  bool CanEjectMore() const;

  const Clock& clock_;
  double max_share_;
  std::map<EngineId, Record> records_;
  MonotonicTime last_ejection_end_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_OUTLIER_EJECTOR_H_
