#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_ATTEMPT_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_ATTEMPT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/base/gathered_body.h"
#include "kingcupdrift/forwarding/sse_framer.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

enum class ForwardAttemptOutcome {
  /// A whole answer that is no stream came; the result has it.
  kAnswered,
  /// The stream ended properly.
  kStreamEnded,
  /// The target states that it did not run the request, with a status other
  /// than 400, or with status 400 and a body that was cut off. Status 400 is
  /// kAnswered if its body is whole.
  kDeclined,
  /// The request was not sent to the target.
  kNotSent,
  /// The request may have run, and no whole answer came.
  kInterrupted,
};

struct ForwardAttemptResult {
  ForwardAttemptOutcome end = ForwardAttemptOutcome::kInterrupted;
  ServiceResponse response;
  /// The engine that the target blames for its refusal, perhaps a prefill
  /// helper; absent if it names none.
  std::optional<Endpoint> faulty_engine;
  /// The target's connection was lost, so that its process may have ended. A
  /// target that is only silent is no such case.
  bool is_connection_lost = false;
  /// The answer names the request or is signed, as only answers of engines are.
  bool is_from_engine = false;
  std::string detail;
};

/// Receives the answer to one attempt. `OnStreamBegin` may cancel the attempt,
/// but not destroy it; the other methods may destroy it.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  /// A stream begins: its first event for the caller is there, or the stream
  /// ended without any.
  virtual void OnStreamBegin(int status, const HeaderList& headers) = 0;
  /// `events` consists of whole events.
  virtual void OnStreamEvents(const std::string& events) = 0;
  virtual void OnAttemptEnd(ForwardAttemptResult result) = 0;
  /// The attempt holds `bytes` of an unfinished answer, head or event. Must not
  /// end the attempt.
  virtual void OnUnfinishedBytes(std::size_t bytes) = 0;
};

struct AttemptTimeouts {
  /// Time to the response head, or to a stream's first event for the caller;
  /// zero for no timeout. The body of an answer that is no stream has none.
  Duration answer_timeout{0};
  /// Longest event gap of a stream; zero for no timeout.
  Duration stall_timeout{0};
};

/// One attempt: sends a request to one target, checks that the answer belongs
/// to the request, collects an answer that is no stream, and splits a stream
/// into events.
class ForwardAttempt : public TargetObserver {
 public:
  /// Sends the request at once. `framer` is null for requests whose answers are
  /// no streams. All references outlive the attempt.
  ForwardAttempt(Clock& clock,
                 TargetClient& targets,
                 const EngineAddress& target,
                 const TargetRequest& request,
                 SseFramer* framer,
                 const AttemptTimeouts& timeouts,
                 AttemptOwner& owner);

  const EngineAddress& target() const { return target_; }
  /// `OnStreamBegin` was called.
  bool has_first_event() const { return has_begun_; }
  /// Stops or resumes reading from the target. The event gap is not measured
  /// while reading is stopped. Does nothing after the end of the attempt.
  void SetPaused(bool is_paused);
  /// Bytes that have arrived from the target and were not read.
  ByteCount GetUnreadBytes() const {
    return call_ ? call_->GetUnreadBytes() : ByteCount(0);
  }
  /// Closes the connection, which makes the target stop its work. No method of
  /// the owner is called afterwards.
  void Cancel();
  /// Ends the attempt as kInterrupted. To be called only while it is in
  /// progress.
  void Interrupt(std::string detail);

  void OnResponseHead(TargetResponseHead answer) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd() override;
  void OnFailed(Error error) override;
  void OnWaitingBytes(ByteCount bytes) override;

  /// Most bytes of an answer that is no stream; the whole answer is held in
  /// memory before the caller gets its first byte. A larger one interrupts the
  /// attempt.
  static constexpr std::size_t kMaxAnswerBytes = 8'000'000;

 private:
  void HandleStreamBytes(std::string_view bytes);
  void ReportUnfinishedBytes();
  void RestartTimeoutTimer(Duration limit);
  void End(ForwardAttemptOutcome end,
           std::string detail,
           bool is_connection_lost = false);

  Clock& clock_;
  EngineAddress target_;
  RequestId request_;
  bool is_relay_;
  SseFramer* framer_;
  AttemptTimeouts timeouts_;
  AttemptOwner& owner_;
  TargetResponseHead response_head_;
  bool is_stream_ = false;
  bool has_begun_ = false;
  GatheredBody body_;
  // Bytes that wait below for the rest of a head or chunk.
  std::size_t waiting_bytes_ = 0;
  std::unique_ptr<Timer> timeout_timer_;
  std::unique_ptr<TargetCall> call_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_ATTEMPT_H_
