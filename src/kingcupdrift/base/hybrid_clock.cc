#include "kingcupdrift/base/hybrid_clock.h"

#include <algorithm>

namespace kingcupdrift {

HybridTime HybridClock::Tick() {
  const std::int64_t now = clock_.WallNow().time_since_epoch().count();
  if (now > last_.wall_us) {
    last_ = HybridTime{now, 0};
  } else {
    ++last_.logical;
  }
  return last_;
}

void HybridClock::Observe(HybridTime remote) {
  const std::int64_t now = clock_.WallNow().time_since_epoch().count();
  if (remote.wall_us > now + kMaxClockSkew.count()) {
    return;
  }
  last_ = std::max(last_, remote);
}

}  // namespace kingcupdrift
