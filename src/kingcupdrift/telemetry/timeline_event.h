#ifndef KINGCUPDRIFT_TELEMETRY_TIMELINE_EVENT_H_
#define KINGCUPDRIFT_TELEMETRY_TIMELINE_EVENT_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Kinds of timeline events. Each has a name in JSON, also those that the entry
/// never records.
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
  /// A second attempt was sent beside a slow one. Never recorded.
  kRequestHedged,
  /// An interrupted stream is being resumed, by this entry itself or for a
  /// caller's resume call; the engine may still refuse.
  kStreamResumed,
  /// The caller's connection closed; "caller_gone" in JSON.
  kCallerDisconnected,
  /// The journal records that an attempt with an idempotency key is about to
  /// run.
  kIntentWritten,
  /// The journal records that the attempt has not run and never will.
  kIntentTombstoned,
  /// An instance is alive: it joined, restarted or is no longer suspect, also
  /// because it answered.
  kMemberJoined,
  kMemberSuspected,
  /// An instance denied a report that it is suspect, draining or dead. Never
  /// recorded.
  kMemberRefuted,
  /// An instance began a planned stop.
  kMemberLeft,
  kMemberDied,
  kConfigurationApplied,
  /// Never recorded.
  kConfigurationRejected,
  /// This entry holds the placement lease.
  kLeaseTaken,
  /// This entry no longer holds the placement lease.
  kLeaseLost,
  /// A placement order was sent to an engine. Never recorded.
  kOrderSent,
  /// An engine refused a placement order. Never recorded.
  kOrderRefused,
  /// A group of engines was reserved for one attempt.
  kReservationMade,
  /// The reservation ended with its attempt. Never recorded.
  kReservationReleased,
  /// A dead entry's reservation was removed. Never recorded.
  kReservationReclaimed,
  /// The router stopped using an engine, for any reason.
  kEngineEjected,
  /// An engine is usable again or has left the router's subset of engines.
  kEngineReturned,
  kStoreUnavailable,
  kStoreRecovered,
  kDrainStarted,
  /// Never recorded.
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
