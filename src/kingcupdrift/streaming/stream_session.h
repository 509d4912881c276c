#ifndef KINGCUPDRIFT_STREAMING_STREAM_SESSION_H_
#define KINGCUPDRIFT_STREAMING_STREAM_SESSION_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/streaming/reassembler.h"

namespace kingcupdrift {

struct StreamLimits {
  /// Longest time without a new token in order once the attempt delivered one,
  /// also on a resumed connection. The engine's acceptance and each `SetPaused`
  /// call restart it too; chunks out of order don't.
  Duration progress_timeout = std::chrono::seconds(2);
  /// Longest time from opening a connection to the engine's acceptance, and
  /// again from there to the attempt's first token, unless `StartAttempt` is
  /// given another value. Each `SetPaused` call restarts it too; chunks out of
  /// order don't.
  Duration first_token_timeout = std::chrono::seconds(10);
  /// Number of consecutive resumptions without a new token after which the
  /// attempt fails.
  int max_resumes = 2;
  ReassemblerLimits reassembler;
};

/// Describes an attempt that ended without a complete answer.
struct AttemptFailure {
  Error error;
  EngineId engine;
  AttemptId attempt;
  /// False only if the engine provably did not accept the attempt.
  bool may_have_run = true;
  /// The engine declined the attempt but is healthy: route to another engine
  /// without ejecting this one.
  bool is_declined = false;
  /// Another attempt can continue after the delivered text. False after
  /// `Attach` at an offset above zero, since the text before it is not known
  /// here.
  bool can_fail_over = true;
};

/// Events of one answer. OnFinished is the last one. OnAttemptFailed ends only
/// the attempt: the observer may then call `StartAttempt` again, inside that
/// call or later. The observer may destroy or stop the session inside any call.
class StreamSessionObserver {
 public:
  virtual ~StreamSessionObserver() = default;
  /// The engine accepted the attempt and had `cached` prompt tokens in its
  /// cache. Called at most once per attempt; not if a chunk comes first, nor
  /// after `Attach`.
  virtual void OnAccepted(TokenCount cached) = 0;
  /// Chunks come in order, without gaps or overlaps, also across attempts.
  virtual void OnChunk(const AnswerChunk& chunk) = 0;
  virtual void OnFinished(const AnswerEnd& end) = 0;
  /// A resumption at `offset` over a new connection was begun; the engine has
  /// not answered yet, and it may still fail. Causes: the old connection went
  /// silent or was interrupted, a chunk was malformed, overlapped delivered
  /// tokens or exceeded the buffer, or the stream ended with tokens missing.
  /// For metrics and the time line.
  virtual void OnResumed(std::uint64_t offset) = 0;
  virtual void OnAttemptFailed(const AttemptFailure& failure) = 0;
};

/// Delivers one answer from one or more attempts at engines. A silent or
/// interrupted connection is resumed over a new one. If that brings no new
/// token, the attempt fails and the failure is reported; a further attempt
/// continues from the prompt plus the delivered text.
///
/// The session may destroy an `EngineStream` inside a callback of that stream;
/// engine clients must allow that.
class StreamSession : private EngineStreamObserver {
 public:
  /// All references must outlive the session.
  StreamSession(Clock& clock,
                EngineClient& engines,
                StreamSessionObserver& observer,
                StreamLimits limits = {});
  /// Closes the connection and cancels the running attempt at its engine.
  ~StreamSession() override;
  StreamSession(const StreamSession&) = delete;
  StreamSession& operator=(const StreamSession&) = delete;

  /// Starts an attempt. The session fills in `emitted_text` and
  /// `emitted_tokens`. The attempt must be new; an earlier one is cancelled.
  void StartAttempt(const EngineAddress& engine,
                    EngineStreamRequest request,
                    std::optional<Duration> first_token_timeout = {});

  /// Takes over a running attempt, of which the client has `offset` tokens. An
  /// attempt that runs in this session is cancelled first, even if it is the
  /// same one. This session doesn't know the text before `offset`; the answer's
  /// `emitted_text()` starts empty.
  void Attach(const EngineAddress& engine,
              const AttemptId& attempt,
              std::uint64_t offset);

  /// Stops or restarts reading, for a slow client. No timeout runs while
  /// paused.
  void SetPaused(bool is_paused);
  /// Cancels the running attempt at its engine; no event follows.
  void Stop();
  /// Closes the connection without cancelling, so that another entry can take
  /// the attempt over; no event follows.
  void Detach();

  const Reassembler& answer() const { return answer_; }
  bool is_running() const { return engine_.has_value(); }

 private:
  void OnAccepted(TokenCount cached) override;
  void OnChunk(EngineChunk chunk) override;
  void OnFinished(FinishReason reason, std::uint64_t total_tokens) override;
  void OnFailed(Error error) override;

  void CloseStream();
  void CancelAttempt();
  void ArmTimer();
  void Resume(Error cause);
  void FailAttempt(Error error);
  bool Deliver(const std::vector<AnswerChunk>& chunks);

  Clock& clock_;
  EngineClient& engines_;
  StreamSessionObserver& observer_;
  StreamLimits limits_;
  Reassembler answer_;
  std::optional<EngineAddress> engine_;
  std::unique_ptr<EngineStream> stream_;
  std::unique_ptr<Timer> progress_timer_;
  Duration first_token_timeout_{0};
  bool is_accepted_ = false;
  bool has_progress_ = false;
  bool is_paused_ = false;
  int resumes_without_progress_ = 0;
  // Checked after observer calls, which may destroy the session.
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STREAMING_STREAM_SESSION_H_
