#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_SERVED_RATIOS_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_SERVED_RATIOS_H_

#include <map>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// The part of each service's requests that started lately, by priority. The
/// rest waited and were refused, or their callers left. Older requests count
/// less, by half in each `kHalfLife`.
class ServedRatios {
 public:
  explicit ServedRatios(const Clock& clock) : clock_(clock) {}

  void CountStart(const ServiceId& service, int priority);
  /// Counts a request that waited and ended without a start.
  void CountLoss(const ServiceId& service, int priority);

  /// Returns whether requests of this priority start less often than less
  /// urgent ones, by more than `kMargin`.
  bool IsBehindLessUrgent(const ServiceId& service, int priority) const;
  /// Returns whether requests of this priority start less often than
  /// `kMinShare` times the least ratio of the more urgent ones.
  bool IsStarved(const ServiceId& service, int priority) const;

  static constexpr Duration kHalfLife = std::chrono::seconds(10);
  static constexpr double kMinShare = 0.1;
  /// Differences below this are random at the rates of one entry.
  static constexpr double kMargin = 0.02;
  /// Below this decayed number of requests the ratio counts as 1: what is left
  /// is old.
  static constexpr double kMinCounted = 0.1;

 private:
  struct Counts {
    double started = 0;
    double lost = 0;
    MonotonicTime updated_at{};
  };

  Counts& Refresh(const ServiceId& service, int priority);
  double GetRatio(const Counts& counts) const;

  const Clock& clock_;
  std::map<ServiceId, std::map<int, Counts>> counts_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_SERVED_RATIOS_H_
