#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARDING_METRICS_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARDING_METRICS_H_

#include <cstddef>
#include <string>

#include "kingcupdrift/forwarding/internal/forward_context.h"

namespace kingcupdrift {

/// Returns the forwarder's counters and gauges in Prometheus text exposition
/// format.
std::string FormatForwardingMetrics(const ForwardContext& context,
                                    std::size_t requests_in_progress);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARDING_METRICS_H_
