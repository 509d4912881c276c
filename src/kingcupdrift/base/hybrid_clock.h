#ifndef KINGCUPDRIFT_BASE_HYBRID_CLOCK_H_
#define KINGCUPDRIFT_BASE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>

#include "kingcupdrift/base/clock.h"

namespace kingcupdrift {

/// Time stamp of a hybrid logical clock: wall time in microseconds since the
/// Unix epoch, then a counter that orders events within one microsecond.
struct HybridTime {
  std::int64_t wall_us = 0;
  std::uint32_t logical = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

/// Hybrid logical clock: an event stamped after a message was received carries
/// a later stamp than the event that sent it, even if the receiver's wall clock
/// is behind the sender's, by up to `kMaxClockSkew`.
class HybridClock {
 public:
  explicit HybridClock(const Clock& clock) : clock_(clock) {}

  /// Returns the stamp for a local event or an outgoing message, later than all
  /// stamps before.
  HybridTime Tick();
  /// Merges the stamp of a received message. Ignores a stamp that is more than
  /// `kMaxClockSkew` ahead of the local wall clock, so that one wrong clock
  /// cannot advance all others.
  void Observe(HybridTime remote);

  static constexpr Duration kMaxClockSkew = std::chrono::minutes(1);

 private:
  const Clock& clock_;
  HybridTime last_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_HYBRID_CLOCK_H_
