#include "tests/fakes/standin/engine_standin.h"

#include <utility>

#include "tests/fakes/standin/engine_connection_standin.h"
#include "tests/fakes/standin/engine_json.h"
#include "tests/fakes/standin/etcd_json.h"

namespace kingcupdrift::fakes {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr std::string_view kStreams = "/v1/streams/";
constexpr std::string_view kReservations = "/v1/reservations/";

Json Failure(const std::string& detail) {
  return {{"error", {{"message", detail}}}};
}

}  // namespace

/// A request that waits for the other members of its group to report the memory
/// that they reserved for it.
struct EngineStandin::GroupCheck {
  ExchangePtr exchange;
  CompletionKind kind = CompletionKind::kText;
  EngineModelRequest work;
  std::size_t unanswered = 0;
  bool is_refused = false;
  std::vector<std::unique_ptr<HttpCall>> calls;
};

EngineStandin::EngineStandin(EventLoop& loop,
                             Clock& clock,
                             EngineModelOptions options)
    : model_(std::move(options), clock),
      peers_(HttpClient::Create(loop, clock, {})),
      server_(loop, clock) {
  AddControls();
}

EngineStandin::~EngineStandin() = default;

void EngineStandin::AddControls() {
  server_.SetBeforeDown([this] { streams_.clear(); });
  server_.AddControl("POST /silence_streams", [this](const Json&) {
    for (const auto& [id, stream] : streams_) {
      stream->StopSending();
    }
    return Json::object();
  });
  server_.AddControl("POST /restart", [this](const Json&) {
    model_.Restart();
    return Json::object();
  });
  server_.AddControl("GET /counters", [this](const Json&) {
    const EngineModelCounters& counters = model_.counters();
    Json runs_by_attempt = Json::object();
    for (const auto& [attempt, n] : counters.runs_by_attempt) {
      runs_by_attempt[attempt.value()] = n;
    }
    return Json{{"runs", std::move(runs_by_attempt)},
                {"finished", counters.finished},
                {"cancelled", counters.cancelled},
                {"expired", counters.expired},
                {"orders", counters.orders.size()},
                {"open_streams", streams_.size()},
                {"held_memory", model_.GetHeldMemory().value()}};
  });
}

Result<void> EngineStandin::Listen(std::uint16_t port,
                                   std::uint16_t control_port) {
  return server_.Listen(model_.options().id.value(), port, control_port,
                        [this](ExchangePtr it) { OnRequest(std::move(it)); });
}

void EngineStandin::OnRequest(ExchangePtr exchange) {
  const std::string path(exchange->GetPath());
  const std::string route = exchange->method() + " " + path;
  if (route == "POST /v1/completions") {
    StartStream(std::move(exchange), CompletionKind::kText);
  } else if (route == "POST /v1/chat/completions") {
    StartStream(std::move(exchange), CompletionKind::kChat);
  } else if (route == "GET /v1/holdings") {
    ListHoldings(std::move(exchange));
  } else if (route == "GET /v1/load") {
    GetReport(std::move(exchange));
  } else if (route == "GET /v1/cache/events") {
    GetCacheEvents(std::move(exchange));
  } else if (route == "PUT /v1/placement") {
    ApplyPlacementOrder(std::move(exchange));
  } else if (route == "POST /v1/cache/export") {
    ExportCache(std::move(exchange));
  } else if (route == "PUT /v1/cache/import") {
    ImportCache(std::move(exchange));
  } else {
    OnItem(std::move(exchange), path);
  }
}

void EngineStandin::OnItem(ExchangePtr exchange, std::string_view path) {
  const std::string method = exchange->method();
  if (path.starts_with(kStreams)) {
    const AttemptId attempt(DecodePathSegment(path.substr(kStreams.size())));
    if (method == "GET") {
      ResumeStream(std::move(exchange), attempt);
      return;
    }
    if (method == "DELETE") {
      Cancel(std::move(exchange), attempt);
      return;
    }
  }
  if (path.starts_with(kReservations)) {
    const ReservationId id(
        DecodePathSegment(path.substr(kReservations.size())));
    if (method == "PUT") {
      Reserve(std::move(exchange), id);
      return;
    }
    if (method == "DELETE") {
      Release(std::move(exchange), id);
      return;
    }
  }
  server_.Reply(std::move(exchange), kNotFound,
                Failure("unknown method or path"));
}

void EngineStandin::StartStream(ExchangePtr exchange, CompletionKind kind) {
  Result<EngineModelRequest> work = ReadStreamRequest(*exchange);
  if (!work) {
    server_.Reply(std::move(exchange), kBadRequest,
                  Failure(work.error().detail));
    return;
  }
  const std::vector<EngineAddress> group =
      ReadGroup(exchange->GetHeader("X-Engine-Group"));
  if (group.empty()) {
    Run(std::move(exchange), kind, *std::move(work));
  } else {
    CheckGroup(std::move(exchange), kind, *std::move(work), group);
  }
}

void EngineStandin::CheckGroup(ExchangePtr exchange,
                               CompletionKind kind,
                               EngineModelRequest work,
                               const std::vector<EngineAddress>& group) {
  const std::uint64_t id = next_id_++;
  auto& check = checks_[id];
  check = std::make_unique<GroupCheck>();
  check->exchange = std::move(exchange);
  check->kind = kind;
  check->work = std::move(work);
  check->work.group_size = static_cast<std::uint32_t>(group.size() + 1);
  check->unanswered = group.size();
  for (const EngineAddress& member : group) {
    HttpRequest request;
    request.server = member.endpoint;
    request.target = "/v1/holdings";
    check->calls.push_back(peers_->Fetch(
        std::move(request), [this, id](const Result<HttpResponse>& answer) {
          GroupCheck& waiting = *checks_.at(id);
          TokenCount reserved;
          if (answer) {
            reserved =
                ReservedTokens(Json::parse(*answer->body, nullptr, false),
                               waiting.work.attempt);
          }
          waiting.is_refused |= reserved == TokenCount(0);
          waiting.work.group_memory += reserved;
          if (--waiting.unanswered > 0) {
            return;
          }
          const std::unique_ptr<GroupCheck> done = std::move(checks_.at(id));
          checks_.erase(id);
          if (done->is_refused) {
            server_.Reply(std::move(done->exchange),
                          StatusOf(ErrorCode::kRefused),
                          Failure("group member has no reservation"));
          } else {
            Run(std::move(done->exchange), done->kind, std::move(done->work));
          }
        }));
  }
}

void EngineStandin::Run(ExchangePtr exchange,
                        CompletionKind kind,
                        EngineModelRequest work) {
  std::erase_if(streams_,
                [](const auto& it) { return it.second->is_closed(); });
  const std::uint64_t id = next_id_++;
  const AttemptId attempt = work.attempt;
  auto stream = std::make_unique<EngineConnectionStandin>(
      std::move(exchange), attempt, kind, model_);
  const Result<TokenCount> started =
      model_.Start(std::move(work), stream.get());
  if (!started) {
    server_.Reply(stream->TakeExchange(), StatusOf(started.error().code),
                  Failure(started.error().detail));
    return;
  }
  kinds_[attempt] = kind;
  stream->exchange().SetClosedCallback([this, id] { CloseStream(id); });
  stream->Begin(*started);
  streams_.emplace(id, std::move(stream));
}

void EngineStandin::ResumeStream(ExchangePtr exchange,
                                 const AttemptId& attempt) {
  const std::optional<std::string> offset =
      exchange->GetQueryParameter("offset");
  const std::uint64_t id = next_id_++;
  auto stream = std::make_unique<EngineConnectionStandin>(
      std::move(exchange), attempt, kinds_[attempt], model_);
  const Result<void> resumed = model_.Resume(
      attempt, std::strtoull(offset.value_or("0").c_str(), nullptr, 10),
      stream.get());
  if (!resumed) {
    server_.Reply(stream->TakeExchange(), kNotFound,
                  Failure(resumed.error().detail));
    return;
  }
  stream->exchange().SetClosedCallback([this, id] { CloseStream(id); });
  stream->Begin(TokenCount(0));
  streams_.emplace(id, std::move(stream));
}

void EngineStandin::CloseStream(std::uint64_t id) {
  streams_.erase(id);
}

void EngineStandin::Cancel(ExchangePtr exchange, const AttemptId& attempt) {
  model_.Cancel(attempt);
  ReplyDone(std::move(exchange), {});
}

void EngineStandin::Reserve(ExchangePtr exchange, const ReservationId& id) {
  const Json body = ParseBody(*exchange);
  if (!body.is_object()) {
    server_.Reply(std::move(exchange), kBadRequest, Failure("malformed JSON"));
    return;
  }
  ReplyDone(std::move(exchange),
            model_.Reserve(ReadReservation(id.value(), body)));
}

void EngineStandin::Release(ExchangePtr exchange, const ReservationId& id) {
  model_.Release(id);
  ReplyDone(std::move(exchange), {});
}

void EngineStandin::ListHoldings(ExchangePtr exchange) {
  server_.Reply(std::move(exchange), kOk, HoldingsJson(model_.ListHoldings()));
}

void EngineStandin::GetReport(ExchangePtr exchange) {
  server_.Reply(std::move(exchange), kOk, ReportJson(model_.GetReport()));
}

void EngineStandin::GetCacheEvents(ExchangePtr exchange) {
  const std::string after = exchange->GetQueryParameter("after").value_or("0");
  server_.Reply(std::move(exchange), kOk,
                CacheEventsJson(model_.GetCacheEvents(
                    std::strtoull(after.c_str(), nullptr, 10))));
}

void EngineStandin::ApplyPlacementOrder(ExchangePtr exchange) {
  const Json body = ParseBody(*exchange);
  if (!body.is_object()) {
    server_.Reply(std::move(exchange), kBadRequest, Failure("malformed JSON"));
    return;
  }
  const PlacementOrder order = ReadOrder(*exchange, body);
  ReplyDone(std::move(exchange), model_.ApplyPlacementOrder(order));
}

void EngineStandin::ExportCache(ExchangePtr exchange) {
  const Json body = ParseBody(*exchange);
  std::vector<std::uint64_t> blocks;
  if (body.is_object()) {
    for (const Json& it : body.value("blocks", Json::array())) {
      blocks.push_back(
          std::strtoull(it.get<std::string>().c_str(), nullptr, 10));
    }
  }
  exchange->Respond(kOk, {{"Content-Type", "application/octet-stream"}},
                    *model_.ExportCache(blocks));
}

void EngineStandin::ImportCache(ExchangePtr exchange) {
  const ReservationRequest holding = ReadImport(*exchange);
  const SharedBytes body = exchange->body();
  ReplyDone(std::move(exchange), model_.ImportCache(holding, *body));
}

void EngineStandin::ReplyDone(ExchangePtr exchange, const Result<void>& done) {
  if (done) {
    server_.Reply(std::move(exchange), kOk, Json::object(),
                  /*is_change=*/true);
  } else {
    server_.Reply(std::move(exchange), StatusOf(done.error().code),
                  Failure(done.error().detail));
  }
}

}  // namespace kingcupdrift::fakes
