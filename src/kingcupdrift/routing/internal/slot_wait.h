#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_SLOT_WAIT_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_SLOT_WAIT_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Returns the time that a new stream is expected to wait for a slot at an
/// engine with `slots` slots, `streams` of which are known to be taken, if each
/// stream takes `stream_time`. Slots may also be taken by streams that other
/// entries placed and this one has not heard of yet: the probability that all
/// are taken is estimated as ((streams + 1) / slots)^slots, and a slot then
/// becomes free every `stream_time` / `slots`.
Duration EstimateSlotWait(int streams, int slots, Duration stream_time);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_SLOT_WAIT_H_
