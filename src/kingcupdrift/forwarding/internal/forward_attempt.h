#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_ATTEMPT_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/sse_framer.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

enum class ForwardAttemptOutcome {
  /// A whole answer that is no stream; it is in the result.
  kAnswered,
  /// The stream came to its proper end.
  kStreamEnded,
  /// The target says that it did not run the request.
  kDeclined,
  /// Nothing reached the target.
  kNotSent,
  /// The request may have run, and no whole answer came.
  kInterrupted,
};

struct ForwardAttemptResult {
  ForwardAttemptOutcome end = ForwardAttemptOutcome::kInterrupted;
  ServiceResponse response;
  /// The engine that a refusal blames; absent if it names none.
  std::optional<Endpoint> faulty_engine;
  std::string detail;
};

/// Receives what comes of one send. The attempt may be destroyed inside.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  /// A stream's answer starts: its first whole event is there.
  virtual void OnStreamBegin(int status, const HeaderList& headers) = 0;
  /// Whole events.
  virtual void OnStreamEvents(const std::string& events) = 0;
  virtual void OnAttemptEnd(ForwardAttemptResult result) = 0;
};

struct AttemptTimeouts {
  /// Time to the answer, or to a stream's first event; zero without a limit.
  Duration answer_timeout{0};
  /// Time from one event of a stream to the next; zero without a limit.
  Duration stall_timeout{0};
};

/// One send of a request to one target: checks that the answer belongs to the
/// request, gathers answers that are no streams, and cuts streams into events.
class ForwardAttempt : public TargetObserver {
 public:
  /// `framer` is null for requests whose answers are no streams. All references
  /// outlive the attempt.
  ForwardAttempt(Clock& clock,
                 TargetClient& targets,
                 const EngineAddress& target,
                 const TargetRequest& request,
                 SseFramer* framer,
                 const AttemptTimeouts& limits,
                 AttemptOwner& owner);

  const EngineAddress& target() const { return target_; }
  bool has_first_event() const { return has_begun_; }
  void SetPaused(bool is_paused);
  /// Closes the connection, which makes the target stop its work. The owner
  /// hears nothing more.
  void Cancel();

  void OnResponseHead(TargetResponseHead answer) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd() override;
  void OnFailed(Error error) override;

  /// Larger answers that are no streams are not passed on: they would have to
  /// be kept whole before the caller gets their first byte.
  static constexpr std::size_t kMaxAnswerBytes = 8'000'000;

 private:
  void HandleStreamBytes(std::string_view bytes);
  void RestartTimeoutTimer(Duration limit);
  void End(ForwardAttemptOutcome end, std::string detail);

  Clock& clock_;
  EngineAddress target_;
  RequestId request_;
  SseFramer* framer_;
  AttemptTimeouts limits_;
  AttemptOwner& owner_;
  TargetResponseHead answer_;
  bool is_stream_ = false;
  bool has_begun_ = false;
  std::string body_;
  std::unique_ptr<Timer> timeout_timer_;
  std::unique_ptr<TargetCall> call_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_ATTEMPT_H_
