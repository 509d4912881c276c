#ifndef KINGCUPDRIFT_ENGINES_ENGINES_H_
#define KINGCUPDRIFT_ENGINES_ENGINES_H_

/// @file
/// Public header for reserving and sweeping engine memory, for the placement
/// lease and for placement orders.

#include "kingcupdrift/engines/group_reserver.h"        // IWYU pragma: export
#include "kingcupdrift/engines/holding_sweeper.h"       // IWYU pragma: export
#include "kingcupdrift/engines/lease_keeper.h"          // IWYU pragma: export
#include "kingcupdrift/engines/placement_controller.h"  // IWYU pragma: export

#endif  // KINGCUPDRIFT_ENGINES_ENGINES_H_
