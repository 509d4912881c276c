#ifndef KINGCUPDRIFT_INTERFACES_FORWARD_SINK_H_
#define KINGCUPDRIFT_INTERFACES_FORWARD_SINK_H_

#include <functional>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/service_client.h"

namespace kingcupdrift {

/// Why an entry answers a forwarded request by itself.
enum class ForwardRefusalType {
  /// No configuration or no list of targets yet.
  kNotReady,
  /// The entry is stopping and could not finish the request.
  kLeaving,
  kBadRequest,
  kUnknownKey,
  kNoRoute,
  /// No target can take the request within its time limit.
  kOverloaded,
  /// The service has no target at all.
  kNoTarget,
  /// The time limit passed before the request was sent.
  kTimeLimitBeforeSend,
  /// The time limit passed after the request was sent.
  kTimeLimitAfterSend,
  /// Targets failed, and the request may have run.
  kTargetFailed,
  /// Targets failed, and the request has certainly not run.
  kTargetDeclined,
};

/// "not_ready", "no_route" and so on; stable names for logs and metrics.
std::string_view GetRefusalName(ForwardRefusalType type);

/// Whether a refusal of this type promises that the request has not run.
bool GuaranteesNotRun(ForwardRefusalType type);

/// An entry's own answer.
struct ForwardRefusal {
  ForwardRefusalType type = ForwardRefusalType::kNotReady;
  /// When asking again may help; zero without advice.
  Duration retry_after{0};
};

/// Writes to one caller. Exactly one of Reply, End, Abort and Refuse ends a
/// request; after it no method is called.
class ForwardSink {
 public:
  virtual ~ForwardSink() = default;

  /// A target's whole answer.
  virtual void Reply(const ServiceResponse& response) = 0;
  /// Starts a target's answer that is passed on as it arrives.
  virtual void Begin(int status, const HeaderList& headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  /// The answer that was begun is whole.
  virtual void End() = 0;
  /// Closes the connection, so that a begun answer cannot look whole.
  virtual void Abort() = 0;
  /// Allowed only before Begin.
  virtual void Refuse(const ForwardRefusal& refusal) = 0;

  /// Called once if the caller goes away before the answer's end. The sink may
  /// be destroyed inside.
  virtual void SetClosedCallback(std::function<void()> callback) = 0;
  /// Called whenever the caller's connection has taken all that was written.
  virtual void SetDrainedCallback(std::function<void()> callback) = 0;
  /// Bytes written and not yet taken by the caller's connection.
  virtual ByteCount GetUnsentBytes() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_FORWARD_SINK_H_
