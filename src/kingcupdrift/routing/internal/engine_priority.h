#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_PRIORITY_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_PRIORITY_H_

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift {

/// Engine priorities encode a virtual deadline: the arrival plus a multiple of
/// the request's own prefill time. Short requests pass long ones, and a long
/// one is passed only by those that arrive before its virtual deadline, so none
/// starves. Entries agree on the order as far as their wall clocks do.

/// One step of an engine priority.
inline constexpr Duration kPriorityUnit = std::chrono::milliseconds(100);
/// Head start that one priority class gives over the next lower one.
inline constexpr Duration kPriorityClassOffset = std::chrono::seconds(60);

/// Multiple of its own prefill time for which a request lets later, shorter
/// ones pass. Grows with the weight of the delay inflicted on others.
double StretchFactor(const ServiceConfig& service);

/// Priority of a request that arrived at `arrival` and needs `prefill` alone.
int EnginePriority(WallTime arrival,
                   Duration prefill,
                   double stretch,
                   int priority_class);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_PRIORITY_H_
