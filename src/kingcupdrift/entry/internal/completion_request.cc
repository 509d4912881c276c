#include "kingcupdrift/entry/internal/completion_request.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/entry/internal/problems.h"
#include "kingcupdrift/entry/internal/service_policies.h"

namespace kingcupdrift {
namespace {

/// Longest wait of a queued request while no engine is usable.
constexpr Duration kNoEngineGrace = std::chrono::seconds(3);
/// Prompts of at least this length wait in FairQueue's FIFO of large prompts.
constexpr TokenCount kLargePrompt{100'000};
/// Reading from the engine pauses above this amount of unsent bytes.
constexpr ByteCount kMaxUnsentBytes{262'144};
/// Retry delay after engines refused for lack of capacity.
constexpr Duration kNoCapacityRetryDelay = std::chrono::milliseconds(100);
/// Added to twice the predicted time to first token to get its timeout.
constexpr Duration kFirstTokenTimeoutMargin = std::chrono::seconds(5);
/// Lifetime of a resume token beyond the request's deadline.
constexpr Duration kResumeTokenMargin = std::chrono::seconds(30);

}  // namespace

CompletionRequest::CompletionRequest(EntryContext& context,
                                     RequestInfo info,
                                     CompletionCall call,
                                     std::unique_ptr<CallerSink> sink)
    : Request(context, std::move(info), std::move(sink)),
      call_(std::move(call)),
      max_output_(call_.max_output_tokens.value_or(
          this->info().service.default_output_tokens)) {}

CompletionRequest::~CompletionRequest() {
  ReleaseAll(AttemptResult::kCancelled);
}

bool CompletionRequest::IsServedBy(const AttemptId& attempt) const {
  return state_ != State::kEnded && attempt_ == attempt;
}

void CompletionRequest::OnStart() {
  const RouteRequest request = MakeRouteRequest();
  const Result<RouteEstimate> estimate = context().router.Predict(request);
  if (!estimate) {
    state_ = State::kEnded;
    const Duration backlog = context().admission.DrainTime(info().service.id);
    EndWithProblem(ProblemFromRouteError(estimate.error(), backlog));
    return;
  }
  const auto admitted =
      context().admission.Admit(MakeAdmissionRequest(estimate->total));
  if (!admitted) {
    state_ = State::kEnded;
    EndWithProblem(ProblemFromRefusal(admitted.error()));
    return;
  }
  is_admitted_ = true;
  context().policies.GetRetryBudget(info().service.id).OnFirstTry();
  Enqueue();
}

void CompletionRequest::Enqueue() {
  state_ = State::kQueued;
  QueuedRequest queued;
  queued.request = id();
  queued.service = info().service.id;
  queued.workspace = info().workspace.id;
  queued.weight = info().workspace.weight;
  queued.priority = info().service.priority + info().workspace.priority;
  queued.tokens = info().prompt_tokens + max_output_;
  queued.is_large = info().prompt_tokens >= kLargePrompt;
  queued.arrival = info().arrival;
  queued.deadline = info().deadline;
  RecordEvent(EventKind::kRequestQueued, EngineId(), "");
  context().dispatcher.Enqueue(queued, *this);
}

DispatchResult CompletionRequest::TryDispatch() {
  Result<Route> route = context().router.Choose(MakeRouteRequest());
  if (!route) {
    return OnNoRoute(route.error());
  }
  no_engine_since_.reset();
  const auto checked = context().admission.CheckBeforeDispatch(
      MakeAdmissionRequest(route->estimate.total));
  if (!checked && !MayHaveRun()) {
    state_ = State::kNew;
    ReleaseAll(AttemptResult::kCancelled);
    EndWithProblem(ProblemFromRefusal(checked.error()));
    return DispatchResult::kDispatched;
  }
  Dispatch(*std::move(route));
  return DispatchResult::kDispatched;
}

DispatchResult CompletionRequest::OnNoRoute(const Error& error) {
  const bool is_waiting =
      error.code == ErrorCode::kOverloaded ||
      (error.code == ErrorCode::kUnavailable && !HasNoEngineForTooLong());
  if (is_waiting) {
    return DispatchResult::kNoCapacity;
  }
  if (!excluded_.empty()) {
    // No other engine is usable: retry those that failed this request.
    excluded_.clear();
    return DispatchResult::kNoCapacity;
  }
  const Duration backlog = context().admission.DrainTime(info().service.id);
  Problem problem = ProblemFromRouteError(error, backlog);
  problem.outcome = OutcomeWithoutAnswer();
  state_ = State::kNew;
  ReleaseAll(AttemptResult::kCancelled);
  EndWithProblem(problem);
  return DispatchResult::kDispatched;
}

bool CompletionRequest::HasNoEngineForTooLong() {
  const MonotonicTime now = context().clock.Now();
  if (!no_engine_since_) {
    no_engine_since_ = now;
  }
  return now - *no_engine_since_ >= kNoEngineGrace;
}

void CompletionRequest::Dispatch(Route route) {
  if (!was_started_) {
    was_started_ = true;
    context().admission.OnStarted(MakeAdmissionRequest(route.estimate.total));
    context().metrics.RecordQueueAge(info().service.id,
                                     context().clock.Now() - info().arrival);
  }
  attempt_ = AttemptId(context().random.GenerateToken());
  route_ = std::move(route);
  context().router.OnDispatched(MakeRouteRequest(), *route_);
  if (route_->is_group()) {
    ReserveGroup();
  } else {
    StartStream();
  }
}

void CompletionRequest::ReserveGroup() {
  state_ = State::kReserving;
  std::vector<GroupMember> members;
  for (const RouteMember& it : route_->members) {
    members.push_back({it.engine, it.tokens});
  }
  reservation_ = context().reserver.Acquire(
      attempt_, std::move(members), info().deadline,
      [this](const Result<void>& reserved) { OnReserved(reserved); },
      [this](const Error& error) { OnReservationLost(error); });
}

void CompletionRequest::OnReserved(const Result<void>& reserved) {
  if (state_ != State::kReserving) {
    return;
  }
  if (reserved) {
    RecordEvent(EventKind::kReservationMade, route_->members.front().engine.id,
                fmt::format("{} engines", route_->members.size()));
    StartStream();
    return;
  }
  reservation_ = ReservationId();
  EndAttempt(AttemptResult::kDeclined);
  RetryAfter(kNoCapacityRetryDelay);
}

void CompletionRequest::OnReservationLost(const Error& error) {
  reservation_ = ReservationId();
  if (state_ != State::kStreaming) {
    return;
  }
  session_->Stop();
  AttemptFailure failure;
  failure.error = error;
  failure.engine = route_->members.front().engine.id;
  failure.attempt = attempt_;
  OnAttemptFailed(failure);
}

void CompletionRequest::StartStream() {
  state_ = State::kStreaming;
  const EngineAddress leader = route_->members.front().engine;
  RecordEvent(EventKind::kRequestDispatched, leader.id, attempt_.value());
  if (session_ == nullptr) {
    StreamSessionObserver& observer = *this;
    session_ = std::make_unique<StreamSession>(context().clock,
                                               context().engines, observer);
  }
  const Duration expected = route_->estimate.time_to_first_token;
  session_->StartAttempt(leader, MakeEngineRequest(),
                         2 * expected + kFirstTokenTimeoutMargin);
}

EngineStreamRequest CompletionRequest::MakeEngineRequest() const {
  EngineStreamRequest request;
  request.request = id();
  request.attempt = attempt_;
  request.kind = call_.kind;
  request.body = call_.body;
  request.prompt_tokens = info().prompt_tokens;
  request.max_output_tokens = max_output_;
  request.priority = route_->engine_priority;
  request.time_left = TimeLeft();
  request.reservation = reservation_;
  for (std::size_t i = 1; i < route_->members.size(); ++i) {
    request.group.push_back(route_->members[i].engine);
  }
  return request;
}

void CompletionRequest::OnAccepted(TokenCount cached) {
  cached_ = cached;
  context().router.OnAccepted(attempt_, cached);
}

void CompletionRequest::OnChunk(const AnswerChunk& chunk) {
  const std::uint64_t delivered = chunk.offset + chunk.token_count;
  context().router.OnProgress(attempt_, delivered);
  BeginAnswer();
  if (sink() == nullptr) {
    return;
  }
  sink()->Write(chunk);
  if (sink()->GetUnsentBytes() > kMaxUnsentBytes) {
    session_->SetPaused(true);
  }
}

void CompletionRequest::BeginAnswer() {
  if (has_begun_answer_ || sink() == nullptr) {
    return;
  }
  has_begun_answer_ = true;
  const Duration waited = context().clock.Now() - info().arrival;
  context().metrics.RecordTimeToFirstToken(info().service.id,
                                           info().prompt_tokens, waited);
  context().policies.GetHedgePolicy(info().service.id).OnAnswered(waited);
  const EngineId& engine = route_->members.front().engine.id;
  RecordEvent(EventKind::kFirstToken, engine, "");
  ResumeToken token;
  token.engine = engine;
  token.service = info().service.id;
  token.attempt = attempt_;
  token.request = id();
  token.workspace = info().workspace.id;
  token.kind = call_.kind;
  token.model = call_.model;
  token.prompt_tokens = info().prompt_tokens;
  token.expiry = context().clock.WallNow() + TimeLeft() + kResumeTokenMargin;
  AnswerStart start;
  start.request = id();
  start.model = call_.model;
  start.kind = call_.kind;
  start.resume_token =
      EncodeResumeToken(token, context().settings.shared_secret);
  start.prompt_tokens = info().prompt_tokens;
  start.cached_tokens = cached_;
  sink()->Begin(start);
}

void CompletionRequest::OnFinished(const AnswerEnd& end) {
  BeginAnswer();
  ReleaseAll(AttemptResult::kSuccess);
  EndWithAnswer(end);
}

void CompletionRequest::OnResumed(std::uint64_t offset) {
  RecordEvent(EventKind::kStreamResumed, route_->members.front().engine.id,
              fmt::format("from token {}", offset));
}

void CompletionRequest::OnAttemptFailed(const AttemptFailure& failure) {
  context().reserver.Release(reservation_);
  reservation_ = ReservationId();
  earlier_attempt_may_have_run_ =
      earlier_attempt_may_have_run_ || failure.may_have_run;
  state_ = State::kBackoff;
  EndAttempt(failure.is_declined ? AttemptResult::kDeclined
                                 : AttemptResult::kEngineFault);
  excluded_.push_back(failure.engine);
  RetryOrFail(failure);
}

void CompletionRequest::RetryOrFail(const AttemptFailure& failure) {
  if (!failure.can_fail_over) {
    Fail(ProblemType::kEngineFailed, failure.error.detail);
    return;
  }
  if (failure.is_declined) {
    RetryAfter(kNoCapacityRetryDelay);
    return;
  }
  RetryBudget& budget = context().policies.GetRetryBudget(info().service.id);
  if (!budget.TakeRetry()) {
    Fail(ProblemType::kEngineFailed, "engine failed; retry budget is used up");
    return;
  }
  ++retries_;
  context().metrics.CountRetry(info().service.id);
  RecordEvent(EventKind::kRequestRetried, failure.engine, failure.error.detail);
  RetryAfter(ComputeRetryDelay(retries_, context().random));
}

void CompletionRequest::RetryAfter(Duration delay) {
  state_ = State::kBackoff;
  retry_timer_ = context().clock.RunAfter(delay, [this] { Enqueue(); });
}

void CompletionRequest::Fail(ProblemType type, const std::string& detail) {
  Problem problem = MakeNotRunProblem(type, detail);
  problem.outcome = OutcomeWithoutAnswer();
  ReleaseAll(AttemptResult::kEngineFault);
  EndWithProblem(problem);
}

bool CompletionRequest::MayHaveRun() const {
  return earlier_attempt_may_have_run_ || state_ == State::kStreaming;
}

Outcome CompletionRequest::OutcomeWithoutAnswer() const {
  return MayHaveRun() ? Outcome::kFailed : Outcome::kNotRun;
}

void CompletionRequest::OnDeadline() {
  Fail(ProblemType::kDeadlineExceeded, "the time limit has passed");
}

void CompletionRequest::OnCallerDisconnected() {
  const Outcome outcome = OutcomeWithoutAnswer();
  ReleaseAll(AttemptResult::kCancelled);
  EndSilently(outcome, "the caller disconnected");
}

void CompletionRequest::OnCallerWritable() {
  if (state_ == State::kStreaming) {
    session_->SetPaused(false);
  }
}

void CompletionRequest::EndAttempt(AttemptResult result) {
  if (!attempt_.empty()) {
    context().router.OnEnded(attempt_, result);
    attempt_ = AttemptId();
    context().dispatcher.ScheduleDispatch();
  }
}

void CompletionRequest::ReleaseAll(AttemptResult result) {
  const State state = std::exchange(state_, State::kEnded);
  if (state == State::kQueued) {
    context().dispatcher.Remove(id());
  }
  retry_timer_.reset();
  if (session_ != nullptr) {
    session_->Stop();
  }
  if (!reservation_.empty()) {
    context().reserver.Release(reservation_);
    reservation_ = ReservationId();
  }
  EndAttempt(result);
  if (is_admitted_ && !was_started_) {
    is_admitted_ = false;
    context().admission.OnAbandoned(MakeAdmissionRequest(Duration::zero()));
  }
}

RouteRequest CompletionRequest::MakeRouteRequest() const {
  RouteRequest request;
  request.service = info().service.id;
  request.attempt = attempt_;
  request.prompt_tokens = info().prompt_tokens;
  request.max_output_tokens = max_output_;
  request.priority = info().service.priority + info().workspace.priority;
  request.block_digests = call_.block_digests;
  request.arrival = info().arrival;
  request.deadline = info().deadline;
  request.excluded = excluded_;
  return request;
}

AdmissionRequest CompletionRequest::MakeAdmissionRequest(
    Duration predicted_total_time) const {
  AdmissionRequest request;
  request.workspace = info().workspace.id;
  request.service = info().service.id;
  request.tokens = info().prompt_tokens + max_output_;
  request.deadline = info().deadline;
  request.predicted_total_time = predicted_total_time;
  request.is_large = info().prompt_tokens >= kLargePrompt;
  return request;
}

}  // namespace kingcupdrift
