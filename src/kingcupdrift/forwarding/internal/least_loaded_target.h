#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_LEAST_LOADED_TARGET_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_LEAST_LOADED_TARGET_H_

#include <map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/target_directory.h"

namespace kingcupdrift {

/// The target with the fewest own sends for its slots, in the own failure
/// domain if several are equal. Null if each already has as many as it has
/// slots: more would only wait there, where they cannot be sent elsewhere.
const TargetRecord* ChooseLeastLoadedTarget(
    const std::vector<const TargetRecord*>& targets,
    const std::map<EngineId, int>& sends_in_progress,
    const FailureDomain& own_domain,
    Random& random);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_LEAST_LOADED_TARGET_H_
