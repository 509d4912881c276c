#include "tests/fakes/simulated_entry.h"

#include <fmt/format.h>

#include <utility>

namespace kingcupdrift::fakes {
namespace {

const ServiceId kService("lm");
constexpr TokenCount kLargePrompt{100'000};
constexpr Duration kReservationTime = std::chrono::minutes(10);

}  // namespace

EngineModel* SimulatedFleet::Find(const EngineId& id) const {
  const auto it = engines.find(id);
  return it == engines.end() || lost.contains(id) ? nullptr : it->second.get();
}

/// Receives one attempt's stream.
class SimulatedEntry::Observer : public EngineStreamObserver {
 public:
  Observer(SimulatedEntry& entry, Job& job) : entry_(entry), job_(job) {}

  void OnAccepted(TokenCount /*cached*/) override {}
  void OnChunk(EngineChunk chunk) override {
    if (chunk.offset == 0) {
      entry_.OnFirstToken(job_);
    }
  }
  void OnFinished(FinishReason /*reason*/, std::uint64_t /*total*/) override {
    entry_.OnStreamEnded(job_, AttemptResult::kSuccess);
  }
  void OnFailed(Error /*error*/) override {
    entry_.OnStreamEnded(job_, AttemptResult::kCancelled);
  }

 private:
  SimulatedEntry& entry_;
  Job& job_;
};

struct SimulatedEntry::Job {
  RequestId id;
  WorkloadRequest request;
  MonotonicTime deadline;
  SimulatedOutcome outcome;
  AttemptId attempt;
  std::vector<EngineId> excluded;
  std::vector<RouteMember> members;
  std::unique_ptr<Observer> observer;
  std::unique_ptr<Timer> retry_timer;
  bool is_admitted = false;
};

SimulatedEntry::SimulatedEntry(const RouterSettings& settings,
                               const SiteConfig& config,
                               SimulatedFleet& fleet,
                               Clock& clock,
                               std::uint64_t seed,
                               double capacity_share,
                               OnOutcome on_outcome)
    : fleet_(fleet),
      clock_(clock),
      random_(seed),
      router_(settings, clock, random_),
      admission_(clock, settings.instance),
      queue_(clock),
      capacity_share_(capacity_share),
      budget_(config.services.at(kService).retry_ratio),
      on_outcome_(std::move(on_outcome)) {
  router_.ApplyConfig(config);
  admission_.ApplyConfig(config);
}

SimulatedEntry::~SimulatedEntry() = default;

void SimulatedEntry::Arrive(WorkloadRequest request) {
  auto new_job = std::make_unique<Job>();
  Job& job = *new_job;
  job.id = RequestId(fmt::format("r{}", request.number));
  job.request = std::move(request);
  job.deadline = clock_.Now() + job.request.time_limit;
  job.outcome.request = &job.request;
  job.outcome.arrival = clock_.Now();
  jobs_.emplace(job.id, std::move(new_job));
  budget_.OnFirstTry();
  AdmissionRequest admission_request = MakeAdmissionRequest(job);
  const Result<RouteEstimate> predicted =
      router_.Predict(MakeRouteRequest(job));
  if (predicted) {
    admission_request.predicted_total_time = predicted->total;
  }
  if (!predicted || !admission_.Admit(admission_request)) {
    job.outcome.is_refused = true;
    End(job);
    return;
  }
  Queue(job);
  DispatchQueued();
}

RouteRequest SimulatedEntry::MakeRouteRequest(Job& job) const {
  RouteRequest request;
  request.service = kService;
  job.attempt =
      AttemptId(fmt::format("{}-{}", job.id.value(), job.outcome.attempts));
  request.attempt = job.attempt;
  request.prompt_tokens = TokenCount(job.request.prompt_tokens);
  request.max_output_tokens = TokenCount(job.request.output_tokens);
  request.block_digests = job.request.blocks;
  request.arrival = job.outcome.arrival;
  request.deadline = job.deadline;
  request.excluded = job.excluded;
  return request;
}

AdmissionRequest SimulatedEntry::MakeAdmissionRequest(const Job& job) const {
  AdmissionRequest request;
  request.workspace = WorkspaceId("all");
  request.service = kService;
  request.tokens =
      TokenCount(job.request.prompt_tokens + job.request.output_tokens);
  request.is_large = request.tokens >= kLargePrompt;
  request.deadline = job.deadline;
  return request;
}

void SimulatedEntry::Queue(Job& job) {
  const AdmissionRequest admission_request = MakeAdmissionRequest(job);
  job.is_admitted = true;
  queue_.Push({job.id, kService, admission_request.workspace, 1, 0,
               admission_request.tokens, admission_request.is_large,
               job.outcome.arrival, job.deadline});
}

void SimulatedEntry::ScheduleDispatch() {
  if (!dispatch_timer_) {
    dispatch_timer_ =
        clock_.RunAfter(Duration::zero(), [this] { DispatchQueued(); });
  }
}

void SimulatedEntry::DispatchQueued() {
  dispatch_timer_.reset();
  for (const std::unique_ptr<Job>& job : ended_) {
    Release(*job);
  }
  ended_.clear();
  for (const QueuedRequest& expired : queue_.TakeExpired()) {
    Job& job = *jobs_.at(expired.request);
    admission_.OnAbandoned(MakeAdmissionRequest(job));
    End(job);
  }
  queue_.Drain([this](const QueuedRequest& request) {
    return TryDispatch(request.request);
  });
}

DispatchResult SimulatedEntry::TryDispatch(const RequestId& id) {
  Job& job = *jobs_.at(id);
  const RouteRequest request = MakeRouteRequest(job);
  const Result<Route> route = router_.Choose(request);
  if (route) {
    if (!StartOn(job, request, *route)) {
      return DispatchResult::kNoCapacity;
    }
    admission_.OnStarted(MakeAdmissionRequest(job));
    return DispatchResult::kDispatched;
  }
  if (route.error().code == ErrorCode::kOverloaded) {
    return DispatchResult::kNoCapacity;
  }
  admission_.OnAbandoned(MakeAdmissionRequest(job));
  End(job);
  return DispatchResult::kDispatched;
}

bool SimulatedEntry::Reserve(const Job& job, const Route& route) {
  std::map<EngineId, TokenCount> tokens_by_engine;
  for (const RouteMember& member : route.members) {
    tokens_by_engine[member.engine.id] = member.tokens;
  }
  std::vector<EngineModel*> reserved;
  for (const auto& [id, tokens] : tokens_by_engine) {
    EngineModel* engine = fleet_.Find(id);
    if (engine != nullptr &&
        engine->Reserve({ReservationId(job.attempt.value()), InstanceId("e"),
                         job.attempt, tokens, kReservationTime})) {
      reserved.push_back(engine);
      continue;
    }
    for (EngineModel* other : reserved) {
      other->Release(ReservationId(job.attempt.value()));
    }
    return false;
  }
  return true;
}

bool SimulatedEntry::StartOn(Job& job,
                             const RouteRequest& request,
                             const Route& route) {
  if (route.is_group() && !Reserve(job, route)) {
    return false;
  }
  EngineModelRequest work;
  work.request = job.id;
  work.attempt = job.attempt;
  work.owner = InstanceId("e");
  work.prompt.blocks = job.request.blocks;
  work.prompt_tokens = request.prompt_tokens;
  work.max_output_tokens = request.max_output_tokens;
  work.priority = route.engine_priority;
  work.time_left = job.deadline - clock_.Now();
  if (route.is_group()) {
    work.reservation = ReservationId(job.attempt.value());
    work.group_size = static_cast<std::uint32_t>(route.members.size());
    for (std::size_t i = 1; i < route.members.size(); ++i) {
      work.group_memory += route.members[i].tokens;
    }
  }
  ++job.outcome.attempts;
  job.members = route.members;
  job.observer = std::make_unique<Observer>(*this, job);
  router_.OnDispatched(request, route);
  EngineModel* engine = fleet_.Find(route.members.front().engine.id);
  const Result<TokenCount> cached =
      engine == nullptr ? Result<TokenCount>(MakeError(ErrorCode::kUnavailable,
                                                       "engine is lost"))
                        : engine->Start(std::move(work), job.observer.get());
  if (!cached) {
    Release(job);
    router_.OnEnded(job.attempt, AttemptResult::kEngineFault);
    Retry(job);
    return true;
  }
  job.outcome.cached = *cached;
  router_.OnAccepted(job.attempt, *cached);
  return true;
}

void SimulatedEntry::Release(Job& job) {
  if (job.members.size() > 1) {
    for (const RouteMember& member : job.members) {
      if (EngineModel* engine = fleet_.Find(member.engine.id)) {
        engine->Release(ReservationId(job.attempt.value()));
      }
    }
  }
  job.members.clear();
}

void SimulatedEntry::OnFirstToken(Job& job) {
  job.outcome.first_token = clock_.Now();
  router_.OnProgress(job.attempt, 1);
}

void SimulatedEntry::OnStreamEnded(Job& job, AttemptResult result) {
  router_.OnEnded(job.attempt, result);
  job.outcome.is_completed = result == AttemptResult::kSuccess;
  End(job);
  ScheduleDispatch();
}

void SimulatedEntry::Retry(Job& job) {
  if (clock_.Now() >= job.deadline || !budget_.TakeRetry()) {
    End(job);
    return;
  }
  job.retry_timer = clock_.RunAfter(
      ComputeRetryDelay(job.outcome.attempts, random_), [this, id = job.id] {
        Job& retried = *jobs_.at(id);
        Queue(retried);
        ScheduleDispatch();
      });
}

void SimulatedEntry::End(Job& job) {
  job.outcome.end = clock_.Now();
  on_outcome_(job.outcome);
  // The next dispatch frees the job: callers up the stack still use it, and
  // engines must not be called from a stream's event.
  const auto it = jobs_.find(job.id);
  ended_.push_back(std::move(it->second));
  jobs_.erase(it);
  ScheduleDispatch();
}

void SimulatedEntry::Poll() {
  for (const EngineAddress& address : router_.Subset()) {
    EngineModel* engine = fleet_.Find(address.id);
    if (engine == nullptr) {
      router_.OnReportFailed(address.id);
      continue;
    }
    router_.OnReport(address.id, engine->GetReport());
    std::uint64_t& sequence = cache_sequences_[address.id];
    const CacheEventBatch batch = engine->GetCacheEvents(sequence);
    sequence = batch.last_sequence;
    router_.OnCacheEvents(address.id, batch);
  }
  const ServiceLoad load = router_.GetServiceLoad(kService);
  admission_.SetFallbackDrainRate(kService,
                                  load.prefill_rate * capacity_share_);
  ScheduleDispatch();
}

void SimulatedEntry::OnEnginesLost() {
  std::vector<Job*> interrupted;
  for (const auto& [id, job] : jobs_) {
    for (const RouteMember& member : job->members) {
      if (fleet_.lost.contains(member.engine.id)) {
        interrupted.push_back(job.get());
        break;
      }
    }
  }
  for (Job* job : interrupted) {
    const EngineId leader = job->members.front().engine.id;
    if (EngineModel* engine = fleet_.Find(leader)) {
      engine->Detach(job->attempt, job->observer.get());
      engine->Cancel(job->attempt);
    }
    Release(*job);
    router_.OnEnded(job->attempt, AttemptResult::kEngineFault);
    Retry(*job);
  }
}

}  // namespace kingcupdrift::fakes
