#include "kingcupdrift/forwarding/request_priority.h"

#include <algorithm>
#include <set>

namespace kingcupdrift {

std::optional<int> FindPriority(const ServingConfig& config,
                                const RouteRule& route,
                                const WorkspaceId& workspace) {
  const auto it = config.workspace_priorities.find(workspace);
  return it != config.workspace_priorities.end() ? it->second : route.priority;
}

bool HasDifferingPriorities(const ServingConfig& config,
                            const ServiceId& service) {
  std::set<int> priorities;
  for (const auto& [workspace, priority] : config.workspace_priorities) {
    priorities.insert(priority);
  }
  const bool has_workspace_without_priority =
      std::any_of(config.workspace_of_key.begin(),
                  config.workspace_of_key.end(), [&config](const auto& it) {
                    return !config.workspace_priorities.contains(it.second);
                  });
  for (const RouteRule& it : config.routes) {
    const bool leads_to_service =
        std::any_of(it.shares.begin(), it.shares.end(),
                    [&service](const ServiceShare& share) {
                      return share.service == service;
                    });
    if (!leads_to_service) {
      continue;
    }
    if (has_workspace_without_priority || !config.needs_key ||
        it.allows_anonymous) {
      priorities.insert(it.priority.value_or(kDefaultPriority));
    }
  }
  return priorities.size() > 1;
}

}  // namespace kingcupdrift
