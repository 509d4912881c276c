#ifndef KINGCUPDRIFT_TELEMETRY_TIMELINE_EVENT_H_
#define KINGCUPDRIFT_TELEMETRY_TIMELINE_EVENT_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Kinds of timeline events.
enum class EventKind {
  kRequestArrived,
  kRequestQueued,
  kRequestDispatched,
  kFirstToken,
  kRequestCompleted,
  /// The request ended without having run: refused, or out of time or abandoned
  /// by its caller before it ran.
  kRequestRefused,
  /// The request may have run but has no complete answer. It is safe to repeat.
  kRequestFailed,
  /// The request ended and it is unknown if it has run.
  kRequestUnknown,
  kRequestRetried,
  kRequestHedged,
  kStreamResumed,
  kCallerDisconnected,
  /// The journal records that an attempt with an idempotency key is about to
  /// run.
  kIntentWritten,
  /// The journal records that the attempt has not run and never will.
  kIntentTombstoned,
  /// An instance is alive: it joined, restarted or is no longer suspect.
  kMemberJoined,
  kMemberSuspected,
  kMemberRefuted,
  /// An instance began a planned stop.
  kMemberLeft,
  kMemberDied,
  kConfigurationApplied,
  kConfigurationRejected,
  /// This entry holds the placement lease.
  kLeaseTaken,
  /// This entry no longer holds the placement lease.
  kLeaseLost,
  kOrderSent,
  kOrderRefused,
  /// A group of engines was reserved for one attempt.
  kReservationMade,
  kReservationReleased,
  kReservationReclaimed,
  /// The router stopped using an engine, for any reason.
  kEngineEjected,
  /// An engine is usable again or has left the router's subset of engines.
  kEngineReturned,
  kStoreUnavailable,
  kStoreRecovered,
  kDrainStarted,
  kDrainFinished,
  /// Number of kinds, not itself a kind.
  kCount,
};

/// Returns the kind's name in JSON, such as "request_arrived".
std::string_view EventKindName(EventKind kind);

/// One event of one instance. IDs that do not apply are empty.
struct TimelineEvent {
  HybridTime time;
  InstanceId instance;
  EventKind kind = EventKind::kRequestArrived;
  RequestId request;
  WorkspaceId workspace;
  EngineId engine;
  /// Text for operators. An event ring cuts it to `kMaxEventDetailBytes`.
  std::string detail;
};

inline constexpr std::size_t kMaxEventDetailBytes = 160;

/// Returns the event as one JSON object without a line end.
std::string ToJsonLine(const TimelineEvent& event);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_TELEMETRY_TIMELINE_EVENT_H_
