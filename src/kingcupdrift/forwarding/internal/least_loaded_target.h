#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_LEAST_LOADED_TARGET_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_LEAST_LOADED_TARGET_H_

#include <map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/target_directory.h"

namespace kingcupdrift {

/// Chooses the target with the fewest attempts per slot; among equals one in
/// `own_domain`, then at random. Only attempts in `sends_in_progress` count:
/// those of this entry (the serving process) for requests without a prompt.
/// Null if each target has as many of them as slots: a further one would queue
/// at the target, where it can no longer be moved to another one.
const TargetRecord* ChooseLeastLoadedTarget(
    const std::vector<const TargetRecord*>& targets,
    const std::map<EngineId, int>& sends_in_progress,
    const FailureDomain& own_domain,
    Random& random);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_LEAST_LOADED_TARGET_H_
