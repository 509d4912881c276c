#ifndef KINGCUPDRIFT_FORWARDING_FORWARDING_H_
#define KINGCUPDRIFT_FORWARDING_FORWARDING_H_

/// @file
/// Public header of forwarding: passes requests on to targets without reading
/// their bodies, with routes, limits, retries and placement. Nothing here
/// performs I/O.

#include "kingcupdrift/forwarding/cold_limit.h"           // IWYU pragma: export
#include "kingcupdrift/forwarding/cold_target_tracker.h"  // IWYU pragma: export
#include "kingcupdrift/forwarding/forwarder.h"            // IWYU pragma: export
#include "kingcupdrift/forwarding/gateway.h"              // IWYU pragma: export
#include "kingcupdrift/forwarding/gateway_stopper.h"      // IWYU pragma: export
#include "kingcupdrift/forwarding/peer_state_exchange.h"  // IWYU pragma: export
#include "kingcupdrift/forwarding/request_priority.h"     // IWYU pragma: export
#include "kingcupdrift/forwarding/retry_budget_share.h"   // IWYU pragma: export
#include "kingcupdrift/forwarding/route_table.h"          // IWYU pragma: export
#include "kingcupdrift/forwarding/serving_config.h"       // IWYU pragma: export
#include "kingcupdrift/forwarding/sse_framer.h"           // IWYU pragma: export
#include "kingcupdrift/forwarding/state_decoder.h"        // IWYU pragma: export
#include "kingcupdrift/forwarding/target_directory.h"     // IWYU pragma: export
#include "kingcupdrift/forwarding/target_health.h"        // IWYU pragma: export
#include "kingcupdrift/forwarding/target_rate_limiter.h"  // IWYU pragma: export
#include "kingcupdrift/forwarding/work_key.h"             // IWYU pragma: export
#include "kingcupdrift/forwarding/work_quarantine.h"      // IWYU pragma: export

#endif  // KINGCUPDRIFT_FORWARDING_FORWARDING_H_
