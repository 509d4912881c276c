#ifndef KINGCUPDRIFT_ROUTING_ROUTING_H_
#define KINGCUPDRIFT_ROUTING_ROUTING_H_

/// @file
/// Public header of routing: choice of the engine or engine group for a
/// request, and retries and hedges of attempts. Nothing here performs I/O.

#include "kingcupdrift/routing/engine_timing.h"    // IWYU pragma: export
#include "kingcupdrift/routing/hedge_policy.h"     // IWYU pragma: export
#include "kingcupdrift/routing/outlier_ejector.h"  // IWYU pragma: export
#include "kingcupdrift/routing/prompt_placer.h"    // IWYU pragma: export
#include "kingcupdrift/routing/retry_budget.h"     // IWYU pragma: export
#include "kingcupdrift/routing/route.h"            // IWYU pragma: export
#include "kingcupdrift/routing/router.h"           // IWYU pragma: export
#include "kingcupdrift/routing/routing_policy.h"   // IWYU pragma: export
#include "kingcupdrift/routing/work_tracker.h"     // IWYU pragma: export

#endif  // KINGCUPDRIFT_ROUTING_ROUTING_H_
