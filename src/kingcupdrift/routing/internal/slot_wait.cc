#include "kingcupdrift/routing/internal/slot_wait.h"

#include <algorithm>
#include <cmath>

#include "kingcupdrift/routing/internal/placement_candidate.h"

namespace kingcupdrift {

Duration EstimateSlotWait(int streams, int slots, Duration stream_time) {
  const double fill = std::min(1.0, static_cast<double>(streams + 1) / slots);
  return Scale(stream_time / slots, std::pow(fill, slots));
}

}  // namespace kingcupdrift
