#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "tests/fakes/cluster.h"
#include "tests/fakes/cluster_names.h"

namespace kingcupdrift::fakes {
namespace {

/// Makes a body that is unique to the call `name` and whose prompt is estimated
/// at `spec.prompt_tokens` tokens.
std::string MakeBody(const std::string& name, const CompletionSpec& spec) {
  const auto size =
      static_cast<std::size_t>(spec.prompt_tokens * kBytesPerToken);
  std::string prompt = name + " ";
  prompt.resize(std::max(size, prompt.size()), 'x');
  return fmt::format(
      R"({{"model":"{}","prompt":"{}","max_tokens":{},"stream":true}})",
      kModelName, prompt, spec.output_tokens);
}

CallerContext MakeContext(Duration time_limit) {
  CallerContext context;
  context.workspace_token = kWorkspaceToken;
  context.time_limit = time_limit;
  return context;
}

}  // namespace

std::string DescribeProblem(const ClusterCall& call) {
  const std::optional<Problem>& problem = call.record->problem;
  if (!problem) {
    return "";
  }
  return fmt::format("{}: {}", GetProblemName(problem->type), problem->detail);
}

ClusterCall* Cluster::FindCall(const std::string& name) {
  const auto it = calls_.find(name);
  return it == calls_.end() ? nullptr : it->second.get();
}

ClusterCall& Cluster::AddCall(const std::string& entry,
                              const std::string& name) {
  auto call = std::make_unique<ClusterCall>();
  call->name = name;
  call->entry = entry;
  call->record = std::make_shared<CallRecord>();
  call->record->delivered_at = clock_.Now();
  ClusterCall& added = *call;
  calls_[name] = std::move(call);
  return added;
}

void Cluster::Deliver(
    ClusterCall& call,
    const std::string& entry,
    std::function<void(Entry&, std::unique_ptr<CallerSink>)> action) {
  ClusterNode* node = FindNode(entry);
  if (node == nullptr) {
    call.is_interrupted = true;
    return;
  }
  if (node->drain_started_at) {
    call.time_since_drain_start = clock_.Now() - *node->drain_started_at;
  }
  call.was_frozen = node->clock().is_frozen();
  node->inbox().Post(Duration::zero(),
                     [node, record = call.record, action = std::move(action)] {
                       action(node->entry(), std::make_unique<RecordingSink>(
                                                 record, node->clock()));
                     });
}

ClusterCall& Cluster::Submit(const std::string& entry,
                             const std::string& name,
                             const CompletionSpec& spec) {
  ClusterCall& call = AddCall(entry, name);
  call.body = std::make_shared<const std::string>(MakeBody(name, spec));
  call.output_tokens = static_cast<std::uint64_t>(spec.output_tokens);
  call.time_limit = spec.time_limit;
  Result<CompletionCall> parsed =
      ParseCompletion(CompletionKind::kText, call.body);
  if (!parsed) {
    AddViolation("the cluster made an invalid body: " + parsed.error().detail);
    return call;
  }
  parsed->context = MakeContext(spec.time_limit);
  Deliver(call, entry,
          [&call, request = *std::move(parsed)](
              Entry& target, std::unique_ptr<CallerSink> sink) {
            call.request = target.Complete(request, std::move(sink));
          });
  return call;
}

std::string Cluster::GetIdempotencyKey(const std::string& name) {
  std::string& key = keys_[name];
  if (key.empty()) {
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(
        clock_.WallNow().time_since_epoch());
    key = fmt::format("{}-{}", now.count(), name);
  }
  return key;
}

ClusterCall& Cluster::SubmitOrder(const std::string& entry,
                                  const std::string& name,
                                  const std::string& key,
                                  Duration time_limit) {
  ClusterCall& call = AddCall(entry, name);
  call.key = GetIdempotencyKey(key);
  call.time_limit = time_limit;
  PlainCall request;
  request.context = MakeContext(time_limit);
  request.context.idempotency_key = call.key;
  request.method = "POST";
  request.target = kOrderTarget;
  request.body = std::make_shared<const std::string>("frit");
  Deliver(call, entry,
          [&call, request = std::move(request)](
              Entry& target, std::unique_ptr<CallerSink> sink) {
            call.request = target.CallService(request, std::move(sink));
          });
  return call;
}

ClusterCall& Cluster::Resume(const std::string& entry,
                             const std::string& name,
                             const std::string& earlier) {
  const ClusterCall* first = FindCall(earlier);
  ClusterCall& call = AddCall(entry, name);
  if (first == nullptr || !first->record->start) {
    call.is_interrupted = true;
    return call;
  }
  call.body = first->body;
  call.output_tokens = first->output_tokens;
  call.time_limit = first->time_limit;
  call.earlier_text = first->text();
  call.earlier_tokens = std::max(first->earlier_tokens, first->record->tokens);
  call.record->tokens = call.earlier_tokens;
  ResumeCall request;
  request.context = MakeContext(first->time_limit);
  request.resume_token = first->record->start->resume_token;
  request.received_tokens = call.earlier_tokens;
  Deliver(call, entry,
          [&call, request = std::move(request)](
              Entry& target, std::unique_ptr<CallerSink> sink) {
            call.request = target.Resume(request, std::move(sink));
          });
  return call;
}

void Cluster::DisconnectCaller(const std::string& name) {
  ClusterCall* call = FindCall(name);
  ClusterNode* node = call == nullptr ? nullptr : FindNode(call->entry);
  if (node == nullptr || call->is_over()) {
    return;
  }
  call->is_interrupted = true;
  node->inbox().Post(Duration::zero(), [node, call] {
    node->entry().HandleCallerDisconnect(call->request);
  });
}

}  // namespace kingcupdrift::fakes
