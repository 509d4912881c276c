#include "tests/fakes/standin/store_standin.h"

#include <optional>
#include <utility>

#include "tests/fakes/standin/etcd_json.h"

namespace kingcupdrift::fakes {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

/// Returns the form of a field's name that `object` uses: the gateway accepts
/// the name in the protocol and its camel case.
const char* FieldName(const Json& object,
                      const char* name,
                      const char* camel_case) {
  return object.contains(camel_case) ? camel_case : name;
}

Json Failure(const std::string& message) {
  return {{"error", message}, {"message", message}};
}

}  // namespace

StoreStandin::StoreStandin(EventLoop& loop, Clock& clock)
    : model_(clock), server_(loop, clock), delayed_writes_(clock) {
  server_.SetBeforeDown([this] {
    while (!watches_.empty()) {
      CloseWatch(watches_.begin()->first);
    }
  });
  server_.AddControl("GET /counters",
                     [this](const Json&) { return Counters(); });
  server_.AddControl("POST /late_writes", [this](const Json& request) {
    model_.DelayWrites(
        request.value("n", 1),
        std::chrono::milliseconds(request.value("delay_ms", 5000)));
    return Json::object();
  });
}

Result<void> StoreStandin::Listen(std::uint16_t port,
                                  std::uint16_t control_port) {
  return server_.Listen(
      "store", port, control_port,
      [this](std::unique_ptr<HttpExchange> it) { OnRequest(std::move(it)); });
}

Json StoreStandin::Counters() {
  const StoreCounters& counters = model_.counters();
  return {{"reads", counters.reads},
          {"writes", counters.writes},
          {"watches", counters.watches},
          {"conflicts", counters.conflicts},
          {"open_watches", watches_.size()}};
}

void StoreStandin::OnRequest(std::unique_ptr<HttpExchange> exchange) {
  const Json request = ParseBody(*exchange);
  if (!request.is_object()) {
    server_.Reply(std::move(exchange), kBadRequest, Failure("malformed JSON"));
    return;
  }
  const std::string path(exchange->GetPath());
  if (path == "/v3/kv/range") {
    Range(std::move(exchange), request);
  } else if (path == "/v3/kv/txn") {
    Transact(std::move(exchange), request);
  } else if (path == "/v3/lease/grant") {
    GrantLease(std::move(exchange), request);
  } else if (path == "/v3/lease/keepalive") {
    KeepAlive(std::move(exchange), request);
  } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
    Revoke(std::move(exchange), request);
  } else if (path == "/v3/watch") {
    Watch(std::move(exchange), request);
  } else {
    server_.Reply(std::move(exchange), kNotFound,
                  Failure("unknown method or path"));
  }
}

void StoreStandin::Range(std::unique_ptr<HttpExchange> exchange,
                         const Json& request) {
  const std::string key = ReadBytes(request, "key");
  Json found = Json::array();
  if (ReadBytes(request, "range_end").empty()) {
    if (const std::optional<StoreValue> value = model_.Get(key)) {
      found.push_back(KeyValueJson(key, *value));
    }
  } else {
    for (const StoreEntry& entry : model_.List(key)) {
      found.push_back(KeyValueJson(entry.key, entry.value));
    }
  }
  const std::string count = std::to_string(found.size());
  server_.Reply(std::move(exchange), kOk,
                {{"header", HeaderJson(model_.version())},
                 {"kvs", std::move(found)},
                 {"count", count}});
}

void StoreStandin::Transact(std::unique_ptr<HttpExchange> exchange,
                            const Json& request) {
  const Duration delay = model_.ConsumeWriteDelay();
  if (delay == Duration::zero()) {
    ApplyTransaction(std::move(exchange), request);
    return;
  }
  const auto waiting =
      std::make_shared<std::unique_ptr<HttpExchange>>(std::move(exchange));
  delayed_writes_.Post(delay, [this, waiting, request] {
    ApplyTransaction(std::move(*waiting), request);
  });
}

void StoreStandin::ApplyTransaction(std::unique_ptr<HttpExchange> exchange,
                                    const Json& request) {
  const Json compare = request.value("compare", Json::array());
  const Json success = request.value("success", Json::array());
  if (compare.size() != 1 || success.size() != 1) {
    server_.Reply(std::move(exchange), kBadRequest,
                  Failure("expected one comparison and one change"));
    return;
  }
  const std::string key = ReadBytes(compare[0], "key");
  const Json& condition = compare[0];
  const StoreVersion expected(ReadInteger(
      condition, FieldName(condition, "mod_revision", "modRevision")));
  Result<StoreVersion> written =
      MakeError(ErrorCode::kRefused, "transaction has no put and no delete");
  const char* put_name = FieldName(success[0], "request_put", "requestPut");
  const char* delete_name =
      FieldName(success[0], "request_delete_range", "requestDeleteRange");
  if (success[0].contains(put_name)) {
    const Json& put = success[0][put_name];
    written = model_.CompareAndSwap(key, expected, ReadBytes(put, "value"),
                                    LeaseId(ReadInteger(put, "lease")));
  } else if (success[0].contains(delete_name)) {
    written = model_.CompareAndDelete(key, expected);
  }
  const bool is_conflict =
      !written && written.error().code == ErrorCode::kConflict;
  if (!written && !is_conflict) {
    server_.Reply(std::move(exchange), kBadRequest,
                  Failure(written.error().detail));
    return;
  }
  server_.Reply(
      std::move(exchange), kOk,
      {{"header", HeaderJson(model_.version())}, {"succeeded", !is_conflict}},
      /*is_change=*/true);
}

void StoreStandin::GrantLease(std::unique_ptr<HttpExchange> exchange,
                              const Json& request) {
  const std::int64_t seconds = ReadInteger(request, "TTL");
  const LeaseId lease = model_.GrantLease(std::chrono::seconds(seconds));
  server_.Reply(std::move(exchange), kOk,
                {{"header", HeaderJson(model_.version())},
                 {"ID", std::to_string(lease.value())},
                 {"TTL", std::to_string(seconds)}},
                /*is_change=*/true);
}

void StoreStandin::KeepAlive(std::unique_ptr<HttpExchange> exchange,
                             const Json& request) {
  const LeaseId lease(ReadInteger(request, "ID"));
  const bool is_known = model_.KeepAlive(lease).has_value();
  const std::int64_t seconds =
      std::chrono::duration_cast<std::chrono::seconds>(model_.TimeToLive(lease))
          .count();
  server_.Reply(std::move(exchange), kOk,
                {{"result",
                  {{"header", HeaderJson(model_.version())},
                   {"ID", std::to_string(lease.value())},
                   {"TTL", std::to_string(is_known ? seconds : 0)}}}},
                /*is_change=*/true);
}

void StoreStandin::Revoke(std::unique_ptr<HttpExchange> exchange,
                          const Json& request) {
  model_.Revoke(LeaseId(ReadInteger(request, "ID")));
  server_.Reply(std::move(exchange), kOk,
                {{"header", HeaderJson(model_.version())}},
                /*is_change=*/true);
}

void StoreStandin::Watch(std::unique_ptr<HttpExchange> exchange,
                         const Json& request) {
  const Json create = request.value("create_request", Json::object());
  const std::string prefix = ReadBytes(create, "key");
  const std::int64_t start = ReadInteger(create, "start_revision");
  const StoreVersion after =
      start > 0 ? StoreVersion(start - 1) : model_.version();
  const std::uint64_t id = next_watch_++;
  auto watch = std::make_unique<OpenWatch>();
  watch->exchange = std::move(exchange);
  HttpExchange* out = watch->exchange.get();
  out->SetClosedCallback([this, id] { CloseWatch(id); });
  out->StartChunked(kOk, {{"Content-Type", "application/json"}});
  const Json created = {{"result",
                         {{"header", HeaderJson(model_.version())},
                          {"watch_id", std::to_string(id)},
                          {"created", true}}}};
  out->WriteChunk(created.dump() + "\n");
  watch->model_watch =
      model_.Watch(prefix, after, [this, out](const StoreEvent& event) {
        const Json line = {{"result",
                            {{"header", HeaderJson(model_.version())},
                             {"events", Json::array({EventJson(event)})}}}};
        out->WriteChunk(line.dump() + "\n");
      });
  watches_.emplace(id, std::move(watch));
}

void StoreStandin::CloseWatch(std::uint64_t id) {
  const auto it = watches_.find(id);
  if (it != watches_.end()) {
    model_.StopWatch(it->second->model_watch);
    watches_.erase(it);
  }
}

}  // namespace kingcupdrift::fakes
