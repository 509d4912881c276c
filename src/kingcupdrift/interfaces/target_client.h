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

/// An engine that prefills a part of a split prompt for the decode engine.
struct PrefillHelper {
  EngineAddress engine;
  /// Tokens that it holds in reserved memory; 0 if it only prefills.
  TokenCount held;
  /// Reservation of that memory; empty if it only prefills.
  ReservationId reservation;
};

/// One attempt of a forwarded call. `call` must outlive the attempt.
struct TargetRequest {
  const ForwardCall* call = nullptr;
  WorkspaceId workspace;
  /// Time until the request's deadline, measured when it is sent.
  Duration time_left{0};
  /// The target continues after this event; absent: from the start.
  std::optional<std::uint64_t> last_event_id;
  std::vector<PrefillHelper> helpers;
  /// Priority of a prompt, from 0, the most urgent, to 9; absent without one,
  /// and if all requests have the same.
  std::optional<int> priority;
  /// The target is another entry, which gets the call as its caller sent it and
  /// serves it in place of this one. Its answers carry no notices.
  bool is_relay = false;
};

/// Status and headers of a target's answer.
struct TargetResponseHead {
  int status = 0;
  /// Headers for the caller, unchanged.
  HeaderList headers;
  /// Request ID that the target's response names; empty if it names none.
  RequestId request;
  /// The answer has neither a length nor chunks and ends with its connection,
  /// so that its end may also be that of a target that crashed.
  bool ends_with_connection = false;
  /// The answer says that it is no event stream.
  bool has_other_media_type = false;
  /// The target has signed the answer.
  bool is_signed = false;
  /// The body has an encoding, which callers never ask for.
  bool is_encoded = false;
  /// The target states that it has not run the request and will not.
  bool is_not_run = false;
  /// It states so by a mark that only targets of this platform send, not only
  /// by its status.
  bool has_not_run_mark = false;
  /// The engine that a refusal names as faulty, which may be a prefill helper;
  /// absent if it names none.
  std::optional<Endpoint> faulty_engine;
};

/// Whether the answer is one that the target gives to the request `id`. A
/// faulty target may send other bytes in its place, such as a page of another
/// server or the answer to another request. Entries refuse without naming the
/// request, but what they pass on as a success is an engine's answer.
inline bool IsAnswerTo(const TargetResponseHead& head,
                       const RequestId& id,
                       bool is_relay) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  const bool is_success =
      head.status >= kFirstSuccess && head.status < kFirstRedirect;
  if (is_success && !head.is_not_run) {
    return head.request == id && head.is_signed && !head.is_encoded;
  }
  const bool needs_id = !is_relay && !head.has_not_run_mark;
  return head.request == id || (head.request.empty() && !needs_id);
}

/// What an engine's answer says about the engine itself.
struct EngineNotice {
  /// The engine is leaving and takes no new requests.
  bool is_leaving = false;
  /// The engine wants no calls from this process for this long; zero without
  /// such a wish.
  Duration pause{0};
  /// The answer tells whether the engine has a limit.
  bool tells_limit = false;
  /// Requests a second that the engine takes from all callers together; absent
  /// without a limit.
  std::optional<double> requests_per_second = std::nullopt;
  /// How much longer the engine stays cold; zero if it is not cold, absent if
  /// the answer does not tell.
  std::optional<Duration> cold_left = std::nullopt;
};

/// Receives the notices of engines.
class EngineNoticeObserver {
 public:
  virtual ~EngineNoticeObserver() = default;
  /// `engine` as the call named it.
  virtual void OnEngineNotice(const EngineAddress& engine,
                              const EngineNotice& notice) = 0;
};

/// Receives an answer as it arrives. After OnEnd or OnFailed no more follow.
class TargetObserver {
 public:
  virtual ~TargetObserver() = default;
  virtual void OnResponseHead(TargetResponseHead answer) = 0;
  virtual void OnBytes(std::string_view bytes) = 0;
  virtual void OnEnd() = 0;
  /// kUnavailable: nothing was sent. kUnknownEffect: sent, and no answer began.
  /// kConnectionLost: the connection was lost during the answer.
  /// kDeadlineExceeded: the time limit passed after the request was sent.
  virtual void OnFailed(Error error) = 0;
  /// So many bytes wait in this process for the rest of the answer's head or of
  /// a chunk. Small numbers are not reported, except zero after larger ones.
  /// Must not destroy the call.
  virtual void OnWaitingBytes(ByteCount) {}
};

/// An attempt in progress. Destroying it closes the connection, which makes the
/// target stop its work.
class TargetCall {
 public:
  virtual ~TargetCall() = default;
  /// Pauses or resumes reading, to bound the memory used for a slow caller.
  virtual void SetPaused(bool is_paused) = 0;
  /// Bytes that have arrived and were not read, in the kernel too. May cost a
  /// system call.
  virtual ByteCount GetUnreadBytes() const { return ByteCount(0); }
};

/// Sends forwarded calls to targets. Callbacks never run inside the call.
class TargetClient {
 public:
  using DoneCallback = std::function<void(Result<void>)>;

  virtual ~TargetClient() = default;

  /// `observer` receives the notices of all answers, each before the answer
  /// itself is passed on. It must outlive the client's calls. Notices without
  /// content, and those of another engine at the address, are left out.
  virtual void SetNoticeObserver(EngineNoticeObserver& observer) = 0;

  /// `observer` must outlive the returned call.
  [[nodiscard]] virtual std::unique_ptr<TargetCall> Send(
      const EngineAddress& target,
      const TargetRequest& request,
      TargetObserver& observer) = 0;

  /// Succeeds if this engine answers within `limit`. Fails if it does not, or
  /// if another engine now has its address.
  virtual void Check(const EngineAddress& engine,
                     Duration limit,
                     DoneCallback callback) = 0;

  /// Reserves memory for `tokens`, or renews a reservation; it expires after
  /// `hold`. kOverloaded: the memory is not free.
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
