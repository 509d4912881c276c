#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_REQUEST_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_REQUEST_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "kingcupdrift/forwarding/internal/forward_attempt.h"
#include "kingcupdrift/forwarding/internal/forward_context.h"
#include "kingcupdrift/forwarding/internal/reservation_set.h"

namespace kingcupdrift {

/// One forwarded request, from its arrival to its outcome.
class ForwardRequest : public AttemptOwner, public Waiter {
 public:
  /// `on_done` is called once; the request is destroyed in a later turn.
  ForwardRequest(ForwardContext& context,
                 ForwardCall call,
                 std::unique_ptr<ForwardSink> sink,
                 std::function<void()> on_done);
  ~ForwardRequest() override;

  void Start();

  /// An engine does not answer: a prompt that it reads a part of cannot begin.
  void HandleEngineDown(const EngineId& engine);

  bool TryResume() override;
  void OnStreamBegin(int status, const HeaderList& headers) override;
  void OnStreamEvents(const std::string& events) override;
  void OnAttemptEnd(ForwardAttemptResult result) override;

  /// A further send must leave the target this much time: below, even an idle
  /// one cannot answer.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(40);
  /// Sends that reached no target cost nothing; bounds how many are tried.
  static constexpr int kMaxUnexecutedSends = 4;
  /// Reservations fail where entries choose the same engine at the same time;
  /// more often only if engines are out of step with what entries know.
  static constexpr int kMaxFailedReservations = 6;
  /// An answer that may be repeated is awaited this many target latencies.
  static constexpr int kAnswerTimeoutFactor = 3;
  /// A stream's next event is awaited this many of the caller's longest pauses.
  static constexpr int kStallTimeoutFactor = 4;
  /// Engines stall this long for another engine that died, then give up.
  static constexpr Duration kMinStallTimeout = std::chrono::milliseconds(1700);
  /// A caller's connection that holds more than this pauses the target.
  static constexpr ByteCount kMaxUnsentBytes{256'000};

 private:
  /// A place to send to.
  struct SendPlan {
    EngineAddress target;
    std::vector<PrefillHelper> helpers;
    Duration part_prefill_time{0};
    Duration predicted_time_to_first_event{0};
    /// What this entry believed to run at the target.
    EngineLoad expected_load;
  };
  enum class PlacementResult { kPlaced, kMustWait, kImpossible };

  bool Admit();
  bool TryDispatch();
  PlacementResult Choose(SendPlan& plan);
  PlacementResult ChooseLeastLoaded(
      const std::vector<const TargetRecord*>& targets,
      SendPlan& plan);
  PlacementResult ChooseEngine(const std::vector<const TargetRecord*>& targets,
                               const EngineTiming& timing,
                               SendPlan& plan);
  std::vector<const TargetRecord*> ListCandidates();
  void EnterWaitQueue();
  /// Reserves memory first where the choice needs it.
  void Dispatch(const SendPlan& plan);
  void OnReserved(bool is_complete);
  void Send();
  AttemptTimeouts ChooseTimeouts(const SendPlan& plan) const;

  void RegisterWork();
  void UpdateWorkPhase(WorkPhase phase);
  void EndAttempt();
  /// Tells the other entries that nothing of the last send is left.
  void ReleaseWork();

  bool IsWaitingForHelper(const EngineId& engine) const;
  /// Has the engine that may have caused a failure checked.
  void SuspectEngine(const EngineId& engine);
  void HandleDeclined(const ForwardAttemptResult& result);
  void HandleInterrupted(const ForwardAttemptResult& result);
  /// The target, or the helper that it blames.
  EngineId FindFaultyEngine(const ForwardAttemptResult& result) const;
  bool IsIdempotent() const;
  bool CanResend();
  /// Places the request again; false if it must end.
  bool TryResend(bool consumes_retry_budget);

  void HandleTimeLimit();
  void HandleClosed();
  void Refuse(ForwardRefusalType type, std::string_view reason);
  void AbortOrRefuse(std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason);

  Duration TimeLeft() const;
  PromptPlacementRequest MakePlacementRequest() const;

  ForwardContext& context_;
  ForwardCall call_;
  std::unique_ptr<ForwardSink> sink_;
  std::function<void()> on_done_;
  std::shared_ptr<const RouteTable> table_;
  const RouteRule* route_ = nullptr;
  ServiceId service_;
  WorkspaceId workspace_;
  MonotonicTime arrival_;
  MonotonicTime deadline_;
  std::unique_ptr<Timer> deadline_timer_;
  std::optional<SseFramer> framer_;
  std::unique_ptr<ForwardAttempt> attempt_;
  // Ended attempts, kept until the callbacks in progress have returned.
  std::vector<std::unique_ptr<ForwardAttempt>> ended_attempts_;
  // What is being reserved for, or sent.
  SendPlan plan_;
  std::unique_ptr<ReservationSet> reservations_;
  int failed_reservations_ = 0;
  AttemptId attempt_id_;
  // Other entries know of the work under `attempt_id_`.
  bool is_work_registered_ = false;
  // The send counts among those to plain targets.
  bool holds_plain_slot_ = false;
  std::set<EngineId> excluded_targets_;
  int sends_ = 0;
  int unexecuted_sends_ = 0;
  bool is_waiting_ = false;
  bool may_have_run_ = false;
  bool has_begun_ = false;
  bool is_done_ = false;
  Duration time_to_first_event_{0};
  std::optional<MonotonicTime> last_event_at_;
  Duration longest_pause_{0};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_REQUEST_H_
