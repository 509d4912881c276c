// Callers' calls to an entry: lookup, refusal, and creation of requests.

#include <algorithm>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/entry/internal/completion_request.h"
#include "kingcupdrift/entry/internal/entry_impl.h"
#include "kingcupdrift/entry/internal/idempotent_request.h"
#include "kingcupdrift/entry/internal/non_idempotent_request.h"
#include "kingcupdrift/entry/internal/problems.h"
#include "kingcupdrift/entry/internal/resume_request.h"

namespace kingcupdrift {
namespace {

bool MayUse(const WorkspaceConfig& workspace, const ServiceId& service) {
  return workspace.services.empty() || workspace.services.contains(service);
}

Problem MakeNotAllowedProblem() {
  return MakeNotRunProblem(ProblemType::kUnauthorized,
                           "the workspace may not use this service");
}

}  // namespace

RequestId Entry::Impl::Refuse(CallerSink& sink,
                              const Problem& problem,
                              const WorkspaceId& workspace) {
  metrics_.CountRefusal(GetProblemName(problem.type));
  TimelineEvent event;
  event.kind = EventKind::kRequestRefused;
  event.workspace = workspace;
  event.detail = std::string(GetProblemName(problem.type));
  events_.Add(std::move(event));
  sink.Fail(problem);
  return RequestId();
}

tl::expected<void, Problem> Entry::Impl::CheckServing(
    const WorkspaceId& workspace) const {
  if (config_.current() == nullptr) {
    return tl::make_unexpected(MakeNotRunProblem(
        ProblemType::kNotReady, "no configuration is in force yet"));
  }
  if (!drain_started_at_) {
    return {};
  }
  Problem problem =
      MakeNotRunProblem(ProblemType::kLeaving, "this entry is draining");
  const EntriesAnswer others = ListEntries(workspace);
  if (!others.entries.empty()) {
    problem.redirect = others.entries.front();
    problem.retry_after = Duration::zero();
  }
  return tl::make_unexpected(problem);
}

tl::expected<const WorkspaceConfig*, Problem> Entry::Impl::Authorize(
    const CallerContext& caller) const {
  if (const auto serving = CheckServing(WorkspaceId()); !serving) {
    return tl::make_unexpected(serving.error());
  }
  const WorkspaceConfig* workspace =
      lookup_.FindWorkspace(caller.workspace_token);
  if (workspace == nullptr) {
    return tl::make_unexpected(MakeNotRunProblem(
        ProblemType::kUnauthorized, "no workspace has this token"));
  }
  return workspace;
}

RequestInfo Entry::Impl::MakeInfo(const WorkspaceConfig& workspace,
                                  const ServiceConfig& service,
                                  const CallerContext& caller) {
  const Duration limit =
      std::min(caller.time_limit.value_or(service.default_time_limit),
               service.max_time_limit);
  RequestInfo info;
  info.id = RequestId(dependencies_.random.GenerateToken());
  info.workspace = workspace;
  info.service = service;
  info.arrival = dependencies_.clock.Now();
  info.deadline = info.arrival + limit;
  return info;
}

RequestId Entry::Impl::Run(std::unique_ptr<Request> request) {
  Request& started = *request;
  const RequestId id = started.id();
  requests_.Add(std::move(request));
  started.Start();
  return started.has_ended() ? RequestId() : id;
}

RequestId Entry::Impl::Complete(CompletionCall call,
                                std::unique_ptr<CallerSink> sink) {
  const auto workspace = Authorize(call.context);
  if (!workspace) {
    return Refuse(*sink, workspace.error());
  }
  const ServiceConfig* service = lookup_.FindServiceOfModel(call.model);
  if (service == nullptr) {
    return Refuse(*sink, MakeNotRunProblem(ProblemType::kUnknownModel,
                                           "no service has this model"));
  }
  if (!MayUse(**workspace, service->id)) {
    return Refuse(*sink, MakeNotAllowedProblem(), (*workspace)->id);
  }
  RequestInfo info = MakeInfo(**workspace, *service, call.context);
  info.prompt_tokens = call.prompt_tokens;
  return Run(std::make_unique<CompletionRequest>(
      context_, std::move(info), std::move(call), std::move(sink)));
}

RequestId Entry::Impl::CallService(PlainCall call,
                                   std::unique_ptr<CallerSink> sink) {
  const auto workspace = Authorize(call.context);
  if (!workspace) {
    return Refuse(*sink, workspace.error());
  }
  const Result<PlainRoute> route =
      lookup_.FindPlainService(call.method, call.target);
  if (!route) {
    const bool is_malformed = route.error().code == ErrorCode::kInvalidArgument;
    return Refuse(*sink,
                  MakeNotRunProblem(is_malformed ? ProblemType::kInvalidRequest
                                                 : ProblemType::kNotFound,
                                    route.error().detail),
                  (*workspace)->id);
  }
  const ServiceConfig& service = *route->service;
  if (!MayUse(**workspace, service.id)) {
    return Refuse(*sink, MakeNotAllowedProblem(), (*workspace)->id);
  }
  RequestInfo info = MakeInfo(**workspace, service, call.context);
  if (!route->is_non_idempotent) {
    return Run(std::make_unique<IdempotentRequest>(
        context_, std::move(info), std::move(call), std::move(sink)));
  }
  if (call.context.idempotency_key.empty()) {
    return Refuse(
        *sink,
        MakeNotRunProblem(ProblemType::kIdempotencyKeyRequired,
                          "this call needs an Idempotency-Key header"),
        info.workspace.id);
  }
  Result<IdempotencyKey> key = ParseIdempotencyKey(
      info.workspace.id, service.id, call.context.idempotency_key);
  if (!key) {
    return Refuse(
        *sink,
        MakeNotRunProblem(ProblemType::kInvalidRequest, key.error().detail),
        info.workspace.id);
  }
  return Run(std::make_unique<NonIdempotentRequest>(
      context_, std::move(info), std::move(call), *std::move(key),
      std::move(sink)));
}

RequestId Entry::Impl::Resume(const ResumeCall& call,
                              std::unique_ptr<CallerSink> sink) {
  const auto workspace = Authorize(call.context);
  if (!workspace) {
    return Refuse(*sink, workspace.error());
  }
  Result<ResumeToken> token =
      DecodeResumeToken(call.resume_token, settings_.shared_secret,
                        dependencies_.clock.WallNow());
  if (!token || token->workspace != (*workspace)->id) {
    return Refuse(
        *sink,
        MakeNotRunProblem(
            ProblemType::kResumeRefused,
            "the resume token is malformed, expired or of another workspace"),
        (*workspace)->id);
  }
  const auto service = site_config_.services.find(token->service);
  const auto engine = site_config_.engines.find(token->engine);
  if (service == site_config_.services.end() ||
      engine == site_config_.engines.end()) {
    return Refuse(
        *sink,
        MakeNotRunProblem(
            ProblemType::kResumeRefused,
            "the stream's service or engine is no longer in the configuration"),
        (*workspace)->id);
  }
  RequestInfo info = MakeInfo(**workspace, service->second, call.context);
  info.prompt_tokens = token->prompt_tokens;
  const Duration token_left = token->expiry - dependencies_.clock.WallNow();
  info.deadline = std::min(info.deadline, info.arrival + token_left);
  const EngineAddress address{engine->first, engine->second.endpoint};
  return Run(std::make_unique<ResumeRequest>(
      context_, std::move(info), *std::move(token), call.resume_token, address,
      call.received_tokens, std::move(sink)));
}

void Entry::Impl::HandleCallerDisconnect(const RequestId& request) {
  if (Request* found = requests_.Find(request)) {
    found->HandleCallerDisconnect();
  }
}

void Entry::Impl::HandleCallerWritable(const RequestId& request) {
  if (Request* found = requests_.Find(request)) {
    found->OnCallerWritable();
  }
}

}  // namespace kingcupdrift
