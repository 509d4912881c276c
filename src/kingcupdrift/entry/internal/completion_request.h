#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_COMPLETION_REQUEST_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_COMPLETION_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "kingcupdrift/entry/internal/dispatcher.h"
#include "kingcupdrift/entry/internal/request.h"
#include "kingcupdrift/streaming/streaming.h"

namespace kingcupdrift {

/// A completion: waits in the fair queue, reserves an engine group if it needs
/// one, streams from an engine, and fails over to another engine when one
/// fails, or to the same one if no other is usable. Generation is idempotent,
/// so it may be retried within the service's retry budget. Retries after a
/// refused attempt or reservation don't use the budget.
class CompletionRequest : public Request,
                          private DispatchDelegate,
                          private StreamSessionObserver {
 public:
  CompletionRequest(EntryContext& context,
                    RequestInfo info,
                    CompletionCall call,
                    std::unique_ptr<CallerSink> sink);
  ~CompletionRequest() override;

  void OnCallerWritable() override;
  bool IsServedBy(const AttemptId& attempt) const override;

 private:
  /// If the deadline passes in any state but kEnded, the request fails.
  enum class State { kNew, kQueued, kReserving, kStreaming, kBackoff, kEnded };

  // Request:
  void OnStart() override;
  void OnDeadline() override;
  void OnCallerDisconnected() override;

  // DispatchDelegate:
  DispatchResult TryDispatch() override;

  // StreamSessionObserver:
  void OnAccepted(TokenCount cached) override;
  void OnChunk(const AnswerChunk& chunk) override;
  void OnFinished(const AnswerEnd& end) override;
  void OnResumed(std::uint64_t offset) override;
  void OnAttemptFailed(const AttemptFailure& failure) override;

  void Enqueue();
  DispatchResult OnNoRoute(const Error& error);
  void Dispatch(Route route);
  void ReserveGroup();
  void OnReserved(const Result<void>& reserved);
  void OnReservationLost(const Error& error);
  void StartStream();
  EngineStreamRequest MakeEngineRequest() const;
  void BeginAnswer();
  void EndAttempt(AttemptResult result);
  void RetryOrFail(const AttemptFailure& failure);
  void RetryAfter(Duration delay);
  void Fail(ProblemType type, const std::string& detail);
  /// Leaves the queue, stops the stream, and releases the reservation and an
  /// unused admission; idempotent.
  void ReleaseAll(AttemptResult result);
  RouteRequest MakeRouteRequest() const;
  AdmissionRequest MakeAdmissionRequest(Duration predicted_total_time) const;
  bool HasNoEngineForTooLong();
  bool MayHaveRun() const;
  /// Outcome of the request if it ended now without an answer.
  Outcome OutcomeWithoutAnswer() const;

  CompletionCall call_;
  TokenCount max_output_;
  State state_ = State::kNew;
  AttemptId attempt_;
  std::optional<Route> route_;
  ReservationId reservation_;
  std::unique_ptr<StreamSession> session_;
  std::vector<EngineId> excluded_;
  std::unique_ptr<Timer> retry_timer_;
  std::optional<MonotonicTime> no_engine_since_;
  TokenCount cached_;
  int retries_ = 0;
  bool is_admitted_ = false;
  bool was_started_ = false;
  /// An earlier attempt may have run at its engine.
  bool earlier_attempt_may_have_run_ = false;
  bool has_begun_answer_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_COMPLETION_REQUEST_H_
