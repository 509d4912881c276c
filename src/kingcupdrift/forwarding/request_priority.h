#ifndef KINGCUPDRIFT_FORWARDING_REQUEST_PRIORITY_H_
#define KINGCUPDRIFT_FORWARDING_REQUEST_PRIORITY_H_

#include <optional>

#include "kingcupdrift/forwarding/serving_config.h"

namespace kingcupdrift {

/// Priority of requests without one; engines use the same value.
inline constexpr int kDefaultPriority = 5;
/// Priorities are from 0, the most urgent, to this.
inline constexpr int kMaxPriority = 9;

/// Returns the priority of a route's requests for one workspace: that of the
/// workspace, else that of the route. Absent if neither has one.
std::optional<int> FindPriority(const ServingConfig& config,
                                const RouteRule& route,
                                const WorkspaceId& workspace);

/// Returns whether two requests for `service` can have different priorities
/// under `config`, where an absent one counts as `kDefaultPriority`.
bool HasDifferingPriorities(const ServingConfig& config,
                            const ServiceId& service);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_REQUEST_PRIORITY_H_
