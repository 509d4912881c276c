#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_SUBSET_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_SUBSET_H_

#include <cstddef>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift {

/// Chooses the engines that an instance uses: all if there are at most
/// `max_size`, otherwise `max_size` by rendezvous hashing, taken in turn from
/// each failure domain. The result depends only on the arguments. Adding or
/// removing an engine changes at most one member per failure domain.
std::vector<const EngineConfig*> ChooseSubset(
    const std::vector<const EngineConfig*>& engines,
    const InstanceId& instance,
    std::size_t max_size);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_SUBSET_H_
