#ifndef KINGCUPDRIFT_BASE_BASE_H_
#define KINGCUPDRIFT_BASE_BASE_H_

/// @file
/// Public header of the base library: identifiers, units, errors, time,
/// randomness, digests and logs. Nothing here performs network I/O.

#include "kingcupdrift/base/clock.h"           // IWYU pragma: export
#include "kingcupdrift/base/deferred_calls.h"  // IWYU pragma: export
#include "kingcupdrift/base/digest.h"          // IWYU pragma: export
#include "kingcupdrift/base/endpoint.h"        // IWYU pragma: export
#include "kingcupdrift/base/error.h"           // IWYU pragma: export
#include "kingcupdrift/base/hybrid_clock.h"    // IWYU pragma: export
#include "kingcupdrift/base/log.h"             // IWYU pragma: export
#include "kingcupdrift/base/outcome.h"         // IWYU pragma: export
#include "kingcupdrift/base/quantity.h"        // IWYU pragma: export
#include "kingcupdrift/base/random.h"          // IWYU pragma: export
#include "kingcupdrift/base/rendezvous.h"      // IWYU pragma: export
#include "kingcupdrift/base/shared_bytes.h"    // IWYU pragma: export
#include "kingcupdrift/base/strong_id.h"       // IWYU pragma: export

#endif  // KINGCUPDRIFT_BASE_BASE_H_
