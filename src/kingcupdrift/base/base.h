#ifndef KINGCUPDRIFT_BASE_BASE_H_
#define KINGCUPDRIFT_BASE_BASE_H_

/// @file
/// Public header of the base library: identifiers, units, errors, clocks,
/// random numbers, digests and logs. Nothing here performs network I/O.

// IWYU pragma: begin_exports
#include "kingcupdrift/base/clock.h"
#include "kingcupdrift/base/deferred_task_runner.h"
#include "kingcupdrift/base/digest.h"
#include "kingcupdrift/base/endpoint.h"
#include "kingcupdrift/base/error.h"
#include "kingcupdrift/base/hybrid_clock.h"
#include "kingcupdrift/base/log.h"
#include "kingcupdrift/base/outcome.h"
#include "kingcupdrift/base/quantity.h"
#include "kingcupdrift/base/random.h"
#include "kingcupdrift/base/rendezvous.h"
#include "kingcupdrift/base/shared_bytes.h"
#include "kingcupdrift/base/store_position.h"
#include "kingcupdrift/base/strong_id.h"
// IWYU pragma: end_exports

#endif  // KINGCUPDRIFT_BASE_BASE_H_
