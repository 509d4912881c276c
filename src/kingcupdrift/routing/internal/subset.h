#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_SUBSET_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_SUBSET_H_

#include <cstddef>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift {

/// Picks the engines that an instance knows: all when there are at most
/// `max_size`, else `max_size` by rendezvous hashing, taken in turn from each
/// failure domain. Depends only on the arguments; an engine that comes or goes
/// changes at most one member per failure domain.
std::vector<const EngineConfig*> ChooseSubset(
    const std::vector<const EngineConfig*>& engines,
    const InstanceId& instance,
    std::size_t max_size);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_SUBSET_H_
