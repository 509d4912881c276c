#ifndef KINGCUPDRIFT_TELEMETRY_TELEMETRY_H_
#define KINGCUPDRIFT_TELEMETRY_TELEMETRY_H_

/// @file
/// Public header of the timeline, the metrics and rate-limited logs.

#include "kingcupdrift/telemetry/decision_log.h"         // IWYU pragma: export
#include "kingcupdrift/telemetry/event_ring.h"           // IWYU pragma: export
#include "kingcupdrift/telemetry/metrics.h"              // IWYU pragma: export
#include "kingcupdrift/telemetry/rate_limited_logger.h"  // IWYU pragma: export
#include "kingcupdrift/telemetry/timeline_event.h"       // IWYU pragma: export

#endif  // KINGCUPDRIFT_TELEMETRY_TELEMETRY_H_
