#ifndef KINGCUPDRIFT_INTERFACES_TARGET_CLIENT_H_
#define KINGCUPDRIFT_INTERFACES_TARGET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/engine_client.h"
#include "kingcupdrift/interfaces/forward_call.h"

namespace kingcupdrift {

/// An engine that reads a part of another engine's prompt.
struct PrefillHelper {
  EngineAddress engine;
  /// Tokens of the prompt that it holds in reserved memory; 0 if it only reads.
  TokenCount held;
  /// Names that memory; empty if it only reads.
  ReservationId reservation;
};

/// One send of a forwarded call. `call` outlives the send.
struct TargetRequest {
  const ForwardCall* call = nullptr;
  WorkspaceId workspace;
  /// Time left until the request's limit, measured when it is sent.
  Duration time_left{0};
  /// The target goes on after this event.
  std::optional<std::uint64_t> last_event_id;
  std::vector<PrefillHelper> helpers;
};

/// Start of a target's answer.
struct TargetResponseHead {
  int status = 0;
  /// Headers for the caller, unchanged.
  HeaderList headers;
  /// The request that the target says it answers; empty if it names none.
  RequestId request;
  /// The target says that it did not run the request and will not.
  bool is_not_run = false;
  /// The engine that a refusal blames, which may be a helper; absent if it
  /// names none.
  std::optional<Endpoint> faulty_engine;
};

/// Receives an answer as it arrives. After OnEnd or OnFailed no more follow.
class TargetObserver {
 public:
  virtual ~TargetObserver() = default;
  virtual void OnResponseHead(TargetResponseHead answer) = 0;
  virtual void OnBytes(std::string_view bytes) = 0;
  virtual void OnEnd() = 0;
  /// kUnavailable: nothing was sent. kUnknownEffect: sent, and no answer began.
  /// kConnectionLost: an answer began and broke. kDeadlineExceeded: the time
  /// limit passed after the request was sent.
  virtual void OnFailed(Error error) = 0;
};

/// A running send. Destroying it closes the connection, which makes the target
/// stop its work.
class TargetCall {
 public:
  virtual ~TargetCall() = default;
  /// Stops or restarts reading, so that a slow caller bounds memory.
  virtual void SetPaused(bool is_paused) = 0;
};

/// Sends forwarded calls to targets. Callbacks never run inside the call.
class TargetClient {
 public:
  using DoneCallback = std::function<void(Result<void>)>;

  virtual ~TargetClient() = default;

  /// `observer` outlives the returned call.
  [[nodiscard]] virtual std::unique_ptr<TargetCall> Send(
      const EngineAddress& target,
      const TargetRequest& request,
      TargetObserver& observer) = 0;

  /// Asks an engine whether it answers, within `limit`. Any error: it does not,
  /// or another one has its address.
  virtual void Check(const EngineAddress& engine,
                     Duration limit,
                     DoneCallback callback) = 0;

  /// Reserves memory for `hold`, or renews a reservation. kOverloaded: the
  /// memory is not free.
  virtual void Reserve(const EngineAddress& engine,
                       const ReservationId& reservation,
                       TokenCount tokens,
                       Duration hold,
                       DoneCallback callback) = 0;
  virtual void Release(const EngineAddress& engine,
                       const ReservationId& reservation,
                       DoneCallback callback) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_TARGET_CLIENT_H_
