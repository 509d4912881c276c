#ifndef KINGCUPDRIFT_TELEMETRY_TIMELINE_EVENT_H_
#define KINGCUPDRIFT_TELEMETRY_TIMELINE_EVENT_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Kinds of event on the time line.
enum class EventKind {
  kRequestArrived,
  kRequestQueued,
  kRequestDispatched,
  kFirstToken,
  kRequestCompleted,
  kRequestRefused,
  kRequestFailed,
  kRequestUnknown,
  kRequestRetried,
  kRequestHedged,
  kStreamResumed,
  kCallerDisconnected,
  kIntentWritten,
  kIntentTombstoned,
  kMemberJoined,
  kMemberSuspected,
  kMemberRefuted,
  kMemberLeft,
  kMemberDied,
  kConfigurationApplied,
  kConfigurationRejected,
  kLeaseTaken,
  kLeaseLost,
  kOrderSent,
  kOrderRefused,
  kReservationMade,
  kReservationReleased,
  kReservationReclaimed,
  kEngineEjected,
  kEngineReturned,
  kStoreUnavailable,
  kStoreRecovered,
  kDrainStarted,
  kDrainFinished,
  /// Number of kinds; not an event.
  kCount,
};

/// "request_arrived", as in JSON.
std::string_view EventKindName(EventKind kind);

/// One event of one instance. Identifiers that do not apply are empty.
struct TimelineEvent {
  HybridTime time;
  InstanceId instance;
  EventKind kind = EventKind::kRequestArrived;
  RequestId request;
  WorkspaceId workspace;
  EngineId engine;
  /// For people; cut to `kMaxEventDetailBytes` bytes in a ring.
  std::string detail;
};

inline constexpr std::size_t kMaxEventDetailBytes = 160;

/// One JSON object without a line end.
std::string ToJsonLine(const TimelineEvent& event);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_TELEMETRY_TIMELINE_EVENT_H_
