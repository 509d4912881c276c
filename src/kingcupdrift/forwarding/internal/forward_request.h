#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_REQUEST_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_REQUEST_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/forwarding/internal/caller_buffer.h"
#include "kingcupdrift/forwarding/internal/forward_attempt.h"
#include "kingcupdrift/forwarding/internal/forward_context.h"
#include "kingcupdrift/forwarding/internal/overdue_attempt.h"
#include "kingcupdrift/forwarding/internal/reservation_set.h"

namespace kingcupdrift {

/// One forwarded request, from its arrival to its outcome.
class ForwardRequest : public AttemptOwner,
                       public Waiter,
                       public CallerBuffer::Request {
 public:
  /// `on_done` is called once. The request must stay alive until a later turn
  /// of the event loop.
  ForwardRequest(ForwardContext& context,
                 ForwardCall call,
                 std::unique_ptr<ForwardSink> sink,
                 std::function<void()> on_done);
  ~ForwardRequest() override;

  void Start();

  /// Retries the request if the engine, which is down, is a prefill helper of
  /// its prompt and no event has come: the prefill would never end. Does
  /// nothing if the engine is the target itself, if the request is not
  /// idempotent, or if no further attempt or retry budget is left.
  void HandleEngineDown(const EngineId& engine);
  /// Ends the request, since this entry (the serving process) stops: with a
  /// refusal that says if it may have run, or with the end of its stream.
  void EndForStop();

  bool TryResume(bool may_start) override;
  void OnStreamBegin(int status, const HeaderList& headers) override;
  void OnStreamEvents(const std::string& events) override;
  void OnAttemptEnd(ForwardAttemptResult result) override;
  void OnUnfinishedBytes(std::size_t bytes) override {
    buffer_.SetUnfinished(bytes);
  }
  void SetEnginePaused(bool is_paused) override;
  ByteCount GetUnreadBytes() const override;
  void YieldBuffer() override;
  void InterruptAttempt() override;

  /// Least time left for an attempt, also the first one: below it even an idle
  /// target cannot answer.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(40);
  /// The request is refused, or its stream aborted, once more attempts than
  /// this certainly didn't run: they were not sent, or the target declined
  /// them. `max_attempts` doesn't count them, and only declined ones take from
  /// the retry budget.
  static constexpr int kMaxUnexecutedSends = 4;
  /// After a failed reservation the request is queued again; once more of them
  /// than this have failed, it is refused or its stream aborted. Reservations
  /// fail when entries (serving processes) choose the same engine at the same
  /// time. More than this fail only if the entries' view of the engines' memory
  /// is wrong.
  static constexpr int kMaxFailedReservations = 6;
  /// Timeout for an answer before a retry, in target latencies; for a stream of
  /// a service without engine timing, in predicted times to first event.
  /// Prompts that are placed by timing follow `CheckOverdue` instead.
  static constexpr int kAnswerTimeoutFactor = 3;
  /// Advice to callers whose request has not run: some of the present work is
  /// done then.
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(300);
  /// Interval between estimates of a waiting prompt's time to its first event.
  static constexpr Duration kEstimateInterval = std::chrono::milliseconds(100);
  /// Timeout for a stream's next event before a retry, in multiples of the
  /// route's `max_event_gap`.
  static constexpr int kStallTimeoutFactor = 4;
  /// Least timeout for a stream's next event, and least time that is added to
  /// the predicted part of the timeout for its first. Engines stall this long
  /// for another engine that died, then give up.
  static constexpr Duration kMinStallTimeout = std::chrono::milliseconds(1700);

 private:
  /// Engines chosen for one attempt, and the predictions behind the choice.
  struct SendPlan {
    EngineAddress target;
    std::vector<PrefillHelper> helpers;
    Duration part_prefill_time{0};
    Duration predicted_time_to_first_event{0};
    /// Load of the target as this entry knew it.
    EngineLoad expected_load;
    /// The target is another entry.
    bool is_relay = false;
  };
  enum class PlacementResult { kPlaced, kMustWait, kImpossible };

  /// This entry stops before the plan's first event, or before the answer by
  /// the route's target latency. False if the request's own time limit ends
  /// before the stop, or if the request may have run already.
  bool WouldOutlastStop(const SendPlan& plan) const;

  bool Admit();
  /// Time for which neither this request nor any prompt with one of its parts
  /// may be sent.
  Duration GetQuarantineLeft() const;
  void HandleQuarantined();
  /// The present attempt was answered, so its request does not crash engines.
  void ReportAnswered();
  /// Sends the request, or refuses it if it can't be served; false if it must
  /// wait. It is not sent to a target if `may_start` is false.
  bool TryDispatch(bool may_start);
  PlacementResult Choose(SendPlan& plan);
  /// The entry that is to serve the request in place of this one: absent unless
  /// this entry is cut off from all engines, or if the request was passed on
  /// once already.
  std::optional<RelayPeer> ChooseRelayPeer();
  void SendToPeer(const RelayPeer& peer);
  PlacementResult ChooseLeastLoaded(
      const std::vector<const TargetRecord*>& targets,
      SendPlan& plan);
  PlacementResult ChooseEngine(const std::vector<const TargetRecord*>& targets,
                               const EngineTiming& timing,
                               SendPlan& plan);
  /// Usable targets that this request has not tried and that this entry may
  /// send to, now or later.
  std::vector<const TargetRecord*> ListUntried();
  /// Time until the target may get a request: its pause and its limit. Absent
  /// if it gets none from this entry.
  std::optional<Duration> GetTargetDelay(const EngineId& target) const;
  /// Those of `ListUntried` that may get the request now.
  std::vector<const TargetRecord*> ListCandidates();
  /// Time until a target may get the request: zero if one may get it now,
  /// nothing if none may.
  std::optional<Duration> GetCandidateDelay();
  /// A target may get the request soon enough to answer it.
  bool HasCandidateInTime();
  /// No engine of `plan_` has left or asked for a pause since it was made.
  bool IsPlanValid() const;
  std::size_t CountDelayedCandidates();
  /// Timing by which this request is placed; null for requests that go to the
  /// least loaded target.
  const EngineTiming* FindEngineTiming() const;
  void EnterWaitQueue();
  WaitInfo MakeWaitInfo() const;
  /// Refuses a waiting prompt that can't get its first event in time, even if
  /// the engines work on nothing but the work ahead of it.
  bool RefuseIfTooLate();
  /// Sends to `plan`; first reserves memory at prefill helpers that hold part
  /// of the prompt.
  void Dispatch(const SendPlan& plan);
  void OnReserved(bool is_complete);
  void Send();
  /// No timeouts unless a retry is possible afterwards.
  AttemptTimeouts ChooseTimeouts(const SendPlan& plan) const;

  /// Starts to watch the first event of the present attempt, if a second one
  /// may follow.
  void StartOverdueTimer(Duration delay);
  void CheckOverdue();
  AttemptState DescribeAttempt() const;
  /// Time for which the engine has shown nothing; at most the time since the
  /// attempt was sent.
  Duration GetQuietTime(const EngineAddress& engine) const;
  std::vector<EngineAddress> ListSilentEngines() const;
  /// Engines to leave out of a second attempt that is likely to bring its first
  /// event in time; absent if there is no such attempt.
  std::optional<std::set<EngineId>> ChooseEnginesToLeave();
  /// Predicted time to the first event of an attempt without these engines.
  std::optional<Duration> PredictWithout(const std::set<EngineId>& engines);
  void GiveUpOverdueAttempt(const std::set<EngineId>& left_engines);
  void LogOverdue(std::string_view outcome);

  /// The shared parts of the prompt for logs, separated by commas.
  std::string JoinSharedParts() const;
  void RegisterWork();
  void UpdateWorkPhase(WorkPhase phase);
  void EndAttempt();
  /// Releases the reservations of the attempt and reports its work as ended.
  void ReleaseWork();

  bool IsWaitingForHelper(const EngineId& engine) const;
  /// Starts a check of an engine that may have caused a failure.
  void SuspectEngine(const EngineId& engine);
  /// The target's answer came on a connection of the present attempt.
  void ReportConnected();
  void HandleNotSent(const ForwardAttemptResult& result);
  void HandleRelayedAnswer(const ForwardAttemptResult& result);
  /// Ends a request that may not be repeated. Its target may have run it, and
  /// answered with a status that callers take as the promise that it has not.
  void RefuseUnconfirmed(const EngineId& target, int status);
  void HandleDeclined(const ForwardAttemptResult& result);
  void HandleInterrupted(const ForwardAttemptResult& result);
  /// The prefill helper that the target blames, else the target.
  EngineId FindFaultyEngine(const ForwardAttemptResult& result) const;
  bool IsIdempotent() const;
  bool CanRetry();
  /// Retries the request: places it again, or queues it; false if no retry is
  /// possible.
  bool TryRetry(bool consumes_retry_budget);

  void HandleTimeLimit();
  /// Ends the request as `sent` if it may have run, otherwise as `unsent`. A
  /// stream that has begun is aborted.
  void EndNow(ForwardRefusalType sent,
              ForwardRefusalType unsent,
              std::string_view reason);
  void HandleClosed();
  void Refuse(ForwardRefusalType type, std::string_view reason);
  void AbortOrRefuse(std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason);

  Duration TimeLeft() const;
  /// Time after which the first event is too late; the time left once there was
  /// one.
  Duration TimeLeftToFirstEvent() const;
  PromptPlacementRequest MakePlacementRequest() const;

  ForwardContext& context_;
  ForwardCall call_;
  std::unique_ptr<ForwardSink> sink_;
  CallerBuffer buffer_;
  std::function<void()> on_done_;
  std::shared_ptr<const RouteTable> table_;
  const RouteRule* route_ = nullptr;
  ServiceId service_;
  WorkspaceId workspace_;
  // The shared parts of the prompt and then the request itself. Empty until the
  // request is admitted.
  std::vector<WorkKey> work_keys_;
  MonotonicTime arrival_;
  MonotonicTime deadline_;
  std::unique_ptr<Timer> deadline_timer_;
  std::optional<SseFramer> framer_;
  std::unique_ptr<ForwardAttempt> attempt_;
  // Ended attempts, kept until the callbacks in progress have returned.
  std::vector<std::unique_ptr<ForwardAttempt>> ended_attempts_;
  // Plan of the present attempt, which reserves memory or is sent, or of the
  // last one if none is in progress.
  SendPlan plan_;
  std::unique_ptr<ReservationSet> reservations_;
  int failed_reservations_ = 0;
  AttemptId attempt_id_;
  // The work was reported to the other entries under `attempt_id_`.
  bool is_work_registered_ = false;
  // The attempt counts in `ForwardContext::sends_in_progress`.
  bool is_counted_in_progress_ = false;
  // Targets that failed or were blamed; they get no further attempt of this
  // request.
  std::set<EngineId> excluded_targets_;
  int sends_ = 0;
  // Attempts that certainly didn't run; not counted in `sends_`.
  int unexecuted_sends_ = 0;
  bool is_waiting_ = false;
  // Least Retry-After of a refusal for the work ahead.
  Duration retry_after_ = kRetryAfter;
  MonotonicTime next_estimate_at_{};
  bool may_have_run_ = false;
  bool has_begun_ = false;
  bool is_done_ = false;
  // When the rate limiter counted the request to the last plan's target.
  MonotonicTime counted_at_{};
  // Time of sending of the present or last attempt.
  MonotonicTime attempt_sent_at_{};
  // Start of the present or last attempt's stream; absent before its first
  // event.
  std::optional<MonotonicTime> attempt_begun_at_;
  std::unique_ptr<Timer> overdue_timer_;
  // Time for which `overdue_timer_` was last set.
  MonotonicTime overdue_check_at_{};
  // The log names the present attempt as overdue, but not given up.
  bool is_overdue_logged_ = false;
  // `ReportAnswered` was called for the present or last attempt.
  bool is_attempt_proven_ = false;
  Duration time_to_first_event_{0};
  std::optional<MonotonicTime> last_event_at_;
  Duration longest_event_gap_{0};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_REQUEST_H_
