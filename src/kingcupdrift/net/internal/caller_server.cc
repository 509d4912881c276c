#include "kingcupdrift/net/internal/caller_server.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/api/json_fields.h"
#include "kingcupdrift/net/internal/http_caller_sink.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;

constexpr char kJsonType[] = "application/json";
constexpr char kTextType[] = "text/plain; charset=utf-8";
constexpr char kMetricsType[] = "text/plain; version=0.0.4";
constexpr char kJsonLinesType[] = "application/x-ndjson";

// Refuses a malformed request, which has not run.
void RespondInvalid(HttpExchange& exchange, const Error& error) {
  Problem problem;
  problem.type = ProblemType::kInvalidRequest;
  problem.detail = error.detail;
  RespondProblem(exchange, problem);
}

void RespondProblemType(HttpExchange& exchange, ProblemType type) {
  Problem problem;
  problem.type = type;
  RespondProblem(exchange, problem);
}

std::string FormatStatusJson(const EntryStatus& status) {
  return ToJson(
      {{"instance", status.instance.value()},
       {"site", status.site.value()},
       {"failure_domain", status.failure_domain.value()},
       {"incarnation", status.incarnation.value()},
       {"ready", status.is_ready},
       {"leaving", status.is_leaving},
       {"generation", status.generation.value()},
       {"head_digest", status.head_digest},
       {"in_force_since_us", status.in_force_since.time_since_epoch().count()},
       {"requests_in_progress", status.requests_in_progress}});
}

}  // namespace

CallerServer::CallerServer(Entry& entry,
                           EventLoop& loop,
                           const Clock& clock,
                           std::string shared_secret,
                           std::function<std::string()> process_metrics)
    : entry_(entry),
      loop_(loop),
      clock_(clock),
      shared_secret_(std::move(shared_secret)),
      process_metrics_(std::move(process_metrics)) {}

void CallerServer::Handle(Exchange exchange) {
  const std::string path(exchange->GetPath());
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    const bool is_chat = path == "/v1/chat/completions";
    HandleCompletion(is_chat ? CompletionKind::kChat : CompletionKind::kText,
                     std::move(exchange));
  } else if (path == "/v1/streams/resume") {
    HandleResume(std::move(exchange));
  } else if (!HandleOperator(*exchange)) {
    HandleService(std::move(exchange));
  }
}

void CallerServer::HandleCompletion(CompletionKind kind, Exchange exchange) {
  if (exchange->method() != "POST") {
    RespondProblemType(*exchange, ProblemType::kNotFound);
    return;
  }
  Result<CallerContext> context = ParseCallerContext(exchange->headers());
  if (!context) {
    RespondInvalid(*exchange, context.error());
    return;
  }
  Result<CompletionCall> call = ParseCompletion(kind, exchange->body());
  if (!call) {
    RespondInvalid(*exchange, call.error());
    return;
  }
  call->context = *std::move(context);
  if (exchange->body()->size() < kLargeBodyBytes) {
    Complete(*std::move(call), std::move(exchange));
    return;
  }
  // Parsing a large body already takes long; the next loop iteration routes the
  // request and starts it at an engine.
  const auto holder = std::make_shared<Exchange>(std::move(exchange));
  loop_.Post([this, holder, call = *std::move(call)]() mutable {
    if (!(*holder)->IsClosed()) {
      Complete(std::move(call), std::move(*holder));
    }
  });
}

void CallerServer::Complete(CompletionCall call, Exchange exchange) {
  const AnswerForm form =
      call.is_streaming ? AnswerForm::kStreamed : AnswerForm::kNonStreamed;
  const auto request = std::make_shared<RequestId>();
  auto sink =
      CreateHttpCallerSink(entry_, clock_, std::move(exchange), form, request);
  *request = entry_.Complete(std::move(call), std::move(sink));
}

void CallerServer::HandleResume(Exchange exchange) {
  Result<ResumeCall> call = ParseResumeCall(exchange->headers());
  if (!call) {
    RespondInvalid(*exchange, call.error());
    return;
  }
  const AnswerForm form =
      call->received_tokens == 0 ? AnswerForm::kStreamed : AnswerForm::kResumed;
  const auto request = std::make_shared<RequestId>();
  auto sink =
      CreateHttpCallerSink(entry_, clock_, std::move(exchange), form, request);
  *request = entry_.Resume(*std::move(call), std::move(sink));
}

void CallerServer::HandleService(Exchange exchange) {
  Result<CallerContext> context = ParseCallerContext(exchange->headers());
  if (!context) {
    RespondInvalid(*exchange, context.error());
    return;
  }
  PlainCall call;
  call.context = *std::move(context);
  call.method = exchange->method();
  call.target = exchange->target();
  call.headers = exchange->headers();
  call.body = exchange->body();
  const auto request = std::make_shared<RequestId>();
  auto sink = CreateHttpCallerSink(entry_, clock_, std::move(exchange),
                                   AnswerForm::kNonStreamed, request);
  *request = entry_.CallService(std::move(call), std::move(sink));
}

bool CallerServer::HandleOperator(HttpExchange& exchange) {
  const std::string_view path = exchange.GetPath();
  if (path == "/v1/entries") {
    RespondEntries(exchange);
  } else if (path == "/healthz") {
    exchange.RespondText(200, kTextType, "ok\n");
  } else if (path == "/readyz") {
    const EntryStatus status = entry_.GetStatus();
    const bool is_accepting = status.is_ready && !status.is_leaving;
    exchange.RespondText(is_accepting ? 200 : 503, kTextType,
                         is_accepting ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    exchange.RespondText(200, kMetricsType,
                         entry_.GetMetricsText() + process_metrics_());
  } else if (path == "/admin/status") {
    RespondStatus(exchange);
  } else if (path == "/admin/timeline") {
    RespondTimeline(exchange);
  } else {
    return false;
  }
  return true;
}

bool CallerServer::HasOperatorSecret(const HttpExchange& exchange) const {
  return ConstantTimeEquals(GetBearerToken(exchange.headers()), shared_secret_);
}

void CallerServer::RespondEntries(HttpExchange& exchange) const {
  const WorkspaceId workspace(
      exchange.GetQueryParameter("workspace").value_or(""));
  const EntriesAnswer answer = entry_.ListEntries(workspace);
  json entries = json::array();
  for (const Endpoint& it : answer.entries) {
    entries.push_back(ToString(it));
  }
  const auto lifetime =
      std::chrono::duration_cast<std::chrono::seconds>(answer.lifetime);
  const json body = {{"entries", std::move(entries)},
                     {"lifetime_seconds", lifetime.count()}};
  exchange.RespondText(200, kJsonType, ToJson(body));
}

void CallerServer::RespondStatus(HttpExchange& exchange) const {
  if (!HasOperatorSecret(exchange)) {
    RespondProblemType(exchange, ProblemType::kUnauthorized);
    return;
  }
  exchange.RespondText(200, kJsonType, FormatStatusJson(entry_.GetStatus()));
}

void CallerServer::RespondTimeline(HttpExchange& exchange) const {
  if (!HasOperatorSecret(exchange)) {
    RespondProblemType(exchange, ProblemType::kUnauthorized);
    return;
  }
  const std::string request =
      exchange.GetQueryParameter("request").value_or("");
  const std::string workspace =
      exchange.GetQueryParameter("workspace").value_or("");
  exchange.RespondText(200, kJsonLinesType,
                       entry_.GetTimelineJson(request, workspace));
}

}  // namespace kingcupdrift
