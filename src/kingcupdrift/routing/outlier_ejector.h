#ifndef KINGCUPDRIFT_ROUTING_OUTLIER_EJECTOR_H_
#define KINGCUPDRIFT_ROUTING_OUTLIER_EJECTOR_H_

#include <cstddef>
#include <map>
#include <set>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Ejects engines with repeated faults from use for a limited time, but never
/// more than a given share of a service's engines. Calls for engines that are
/// not set are ignored.
class OutlierEjector {
 public:
  /// `max_share`, 0 to 1: largest share of the engines given to `SetEngines`
  /// that may be ejected at one time. The number of engines is rounded down; at
  /// zero engines none is ever ejected.
  OutlierEjector(const Clock& clock, double max_share);

  /// Sets the service's engines. Engines that stay keep their record.
  void SetEngines(std::set<EngineId> engines);
  void SetMaxShare(double max_share) { max_share_ = max_share; }
  /// Clears the engine's record: its count of faults, a running ejection and
  /// the doubled length of the next one.
  void OnSuccess(const EngineId& engine);
  /// Counts a fault and ejects the engine once it has enough of them. Faults
  /// during an ejection are ignored.
  void OnFault(const EngineId& engine);

  bool IsEjected(const EngineId& engine) const;
  /// Cheap check. Returns false only if no engine is ejected; may return true
  /// after `OnSuccess` or `SetEngines` ended the last ejection early.
  bool HasEjected() const { return clock_.Now() < last_ejection_end_; }
  std::size_t EjectedCount() const;

  /// Consecutive faults that eject an engine for the first time. After it
  /// returns, one fault is enough until a success.
  static constexpr int kFaultsToEject = 3;
  /// Length of the first ejection. Each further one is twice as long, up to
  /// `kMaxEjection`.
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
