#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_PRIORITY_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_PRIORITY_H_

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift {

/// Engine priorities encode a virtual deadline: the arrival plus a multiple of
/// the request's own prefill time. An earlier deadline gives a larger priority,
/// which runs first. Short requests overtake long ones, but only requests that
/// arrive before the virtual deadline of a long one can overtake it, so none
/// starves. Entries agree on the order up to their clock skew.

/// Difference of virtual deadlines that changes the engine priority by one.
inline constexpr Duration kPriorityUnit = std::chrono::milliseconds(100);
/// Time by which one priority class advances the virtual deadline over the next
/// lower class.
inline constexpr Duration kPriorityClassOffset = std::chrono::seconds(60);

/// Returns the multiple of the prefill time in the virtual deadline. It grows
/// with the service's weight of the delay caused to others.
double StretchFactor(const ServiceConfig& service);

/// Returns the priority of a request that arrived at `arrival`; larger runs
/// first. `prefill`: time to prefill the prompt on an idle engine without
/// cache. `stretch`: result of `StretchFactor`.
int EnginePriority(WallTime arrival,
                   Duration prefill,
                   double stretch,
                   int priority_class);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_PRIORITY_H_
