#ifndef KINGCUPDRIFT_INTERFACES_FORWARD_SINK_H_
#define KINGCUPDRIFT_INTERFACES_FORWARD_SINK_H_

#include <functional>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/service_client.h"

namespace kingcupdrift {

/// Reason for which an entry (a serving process) refuses a request instead of
/// forwarding a target's answer.
enum class ForwardRefusalType {
  /// The entry has no configuration or no list of targets yet.
  kNotReady,
  /// The entry is draining and the request's time limit ends after the drain.
  kLeaving,
  kBadRequest,
  /// No workspace has the caller's API key.
  kUnknownKey,
  /// No route matches the request's host and path.
  kNoRoute,
  /// No target can take the request within its time limit.
  kOverloaded,
  /// The service has no targets.
  kNoTarget,
  /// The time limit passed before the request was sent.
  kTimeLimitBeforeSend,
  /// The time limit passed after the request was sent.
  kTimeLimitAfterSend,
  /// Targets failed, and the request may have run.
  kTargetFailed,
  /// Targets failed or refused the request, and it has certainly not run.
  kTargetDeclined,
  /// The request or a part of its prompt crashed engines lately, and this
  /// request was not sent.
  kQuarantined,
};

/// "not_ready", "no_route" and so on; stable names for logs and metrics.
std::string_view GetRefusalName(ForwardRefusalType type);

/// True if a refusal of this type guarantees that the request has not run.
bool GuaranteesNotRun(ForwardRefusalType type);

/// A refusal by the entry.
struct ForwardRefusal {
  ForwardRefusalType type = ForwardRefusalType::kNotReady;
  /// Advised delay before a retry; zero without advice.
  Duration retry_after{0};
};

/// Writes one request's answer to its caller. Exactly one of Reply, End, Abort
/// and Refuse ends the request; after it no method is called but those that
/// concern bytes not yet sent: Discard, SetSentCallback, GetUnsentBytes and
/// GetUndeliveredBytes. Bytes of an ended answer are sent also after the sink
/// is destroyed.
class ForwardSink {
 public:
  virtual ~ForwardSink() = default;

  /// Writes a target's whole answer.
  virtual void Reply(const ServiceResponse& response) = 0;
  /// Starts a target's answer that is forwarded as it arrives.
  virtual void Begin(int status, const HeaderList& headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  /// Ends an answer that was begun, as complete.
  virtual void End() = 0;
  /// Closes the connection, so that the caller sees a begun answer as
  /// incomplete.
  virtual void Abort() = 0;
  /// Allowed only before Begin.
  virtual void Refuse(const ForwardRefusal& refusal) = 0;

  /// `callback` runs once if the caller disconnects before the answer's end. It
  /// may destroy the sink.
  virtual void SetClosedCallback(std::function<void()> callback) = 0;
  /// `callback` runs whenever the caller's connection has taken all bytes
  /// written so far.
  virtual void SetDrainedCallback(std::function<void()> callback) = 0;
  /// Bytes written that the caller's connection has not taken yet, also after
  /// the answer's end.
  virtual ByteCount GetUnsentBytes() const = 0;
  /// The unsent bytes and those that the kernel holds because the caller's side
  /// has not acknowledged them. May cost a system call.
  virtual ByteCount GetUndeliveredBytes() const { return GetUnsentBytes(); }
  /// `callback` runs once, after the answer's end, when its last byte was sent
  /// or the connection has failed. It may destroy the sink.
  virtual void SetSentCallback(std::function<void()>) {}  // NOLINT
  /// Closes the connection and drops the bytes that the caller has not taken;
  /// allowed after the answer's end too. No callback follows.
  virtual void Discard() { Abort(); }
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_FORWARD_SINK_H_
