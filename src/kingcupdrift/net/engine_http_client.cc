#include "kingcupdrift/net/engine_http_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "kingcupdrift/api/json_fields.h"
#include "kingcupdrift/net/internal/engine_protocol.h"
#include "kingcupdrift/net/internal/engine_stream.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;

std::string MakeStreamTarget(const AttemptId& attempt) {
  return "/v1/streams/" + EncodePathSegment(attempt.value());
}

std::string MakeReservationTarget(const ReservationId& reservation) {
  return "/v1/reservations/" + EncodePathSegment(reservation.value());
}

BodySlices MakeWholeSlice(SharedBytes bytes) {
  const std::string_view view = *bytes;
  return {{std::move(bytes), view}};
}

class EngineHttpClient : public EngineClient {
 public:
  EngineHttpClient(HttpClient& data,
                   HttpClient& control,
                   Clock& clock,
                   const EngineClientSettings& settings)
      : data_(data), control_(control), clock_(clock), settings_(settings) {}

  std::unique_ptr<EngineStream> Start(const EngineAddress& engine,
                                      const EngineStreamRequest& request,
                                      EngineStreamObserver& observer) override {
    Result<BodySlices> body = MakeEngineBody(
        request.body, {request.emitted_text, request.emitted_tokens});
    if (!body) {
      return CreateFailedStream(clock_, std::move(body.error()), observer);
    }
    HttpRequest out;
    out.server = engine.endpoint;
    out.method = "POST";
    out.target = request.kind == CompletionKind::kChat ? "/v1/chat/completions"
                                                       : "/v1/completions";
    out.headers = MakeStartHeaders(request);
    out.body = *std::move(body);
    out.needs_new_connection = true;
    out.time_limit = request.time_left;
    return CreateEngineStream(data_, std::move(out), request.attempt, observer);
  }

  std::unique_ptr<EngineStream> Resume(
      const EngineAddress& engine,
      const AttemptId& attempt,
      std::uint64_t offset,
      EngineStreamObserver& observer) override {
    HttpRequest out;
    out.server = engine.endpoint;
    out.target =
        MakeStreamTarget(attempt) + "?offset=" + std::to_string(offset);
    out.headers = {{"Accept", "text/event-stream"}};
    out.needs_new_connection = true;
    out.time_limit = Duration::zero();
    return CreateEngineStream(data_, std::move(out), attempt, observer);
  }

  void Cancel(const EngineAddress& engine,
              const AttemptId& attempt,
              DoneCallback callback) override {
    SendDelete(engine, MakeStreamTarget(attempt), std::move(callback));
  }

  void Reserve(const EngineAddress& engine,
               const ReservationRequest& request,
               DoneCallback callback) override {
    HttpRequest out =
        MakeControlRequest(engine, "PUT", MakeReservationTarget(request.id));
    out.body = MakeBody(ToJson(MakeReservationBody(request)));
    SendForSuccess(control_, std::move(out), std::move(callback));
  }

  void Release(const EngineAddress& engine,
               const ReservationId& reservation,
               DoneCallback callback) override {
    SendDelete(engine, MakeReservationTarget(reservation), std::move(callback));
  }

  void ListHoldings(const EngineAddress& engine,
                    HoldingsCallback callback) override {
    SendForJson(MakeControlRequest(engine, "GET", "/v1/holdings"),
                [callback = std::move(callback)](Result<json> answer) {
                  callback(answer.and_then(ReadHoldings));
                });
  }

  void FetchReport(const EngineAddress& engine,
                   ReportCallback callback) override {
    SendForJson(MakeControlRequest(engine, "GET", "/v1/load"),
                [callback = std::move(callback)](Result<json> answer) {
                  callback(answer.and_then(ReadReport));
                });
  }

  void FetchCacheEvents(const EngineAddress& engine,
                        std::uint64_t after_sequence,
                        CacheEventsCallback callback) override {
    const std::string target =
        "/v1/cache/events?after=" + std::to_string(after_sequence);
    SendForJson(MakeControlRequest(engine, "GET", target),
                [callback = std::move(callback)](Result<json> answer) {
                  callback(answer.and_then(ReadCacheEvents));
                });
  }

  void SendPlacementOrder(const EngineAddress& engine,
                          const PlacementOrder& order,
                          DoneCallback callback) override {
    HttpRequest out = MakeControlRequest(engine, "PUT", "/v1/placement");
    out.headers.emplace_back("X-Fencing-Number",
                             std::to_string(order.fencing_number.value()));
    out.body = MakeBody(ToJson(MakeOrderBody(order)));
    SendForSuccess(control_, std::move(out), std::move(callback));
  }

  void ExportCache(const EngineAddress& engine,
                   const std::vector<std::uint64_t>& block_digests,
                   CacheTransferCallback callback) override {
    HttpRequest out = MakeControlRequest(engine, "POST", "/v1/cache/export");
    out.time_limit = settings_.transfer_timeout;
    out.body = MakeBody(ToJson(MakeExportBody(block_digests)));
    SendForAnswer(data_, std::move(out), std::move(callback));
  }

  void ImportCache(const EngineAddress& engine,
                   const ReservationRequest& holding,
                   SharedBytes exported,
                   DoneCallback callback) override {
    HttpRequest out = MakeControlRequest(engine, "PUT", "/v1/cache/import");
    out.time_limit = settings_.transfer_timeout;
    out.headers = MakeImportHeaders(holding);
    out.body = MakeWholeSlice(std::move(exported));
    SendForSuccess(data_, std::move(out), std::move(callback));
  }

 private:
  HttpRequest MakeControlRequest(const EngineAddress& engine,
                                 const char* method,
                                 const std::string& target) const {
    HttpRequest out;
    out.server = engine.endpoint;
    out.method = method;
    out.target = target;
    out.time_limit = settings_.control_timeout;
    return out;
  }

  void SendForAnswer(HttpClient& http,
                     HttpRequest request,
                     CacheTransferCallback callback) {
    http.Send(std::move(request), [callback = std::move(callback)](
                                      Result<HttpResponse> response) {
      if (!response) {
        callback(tl::unexpected(response.error()));
        return;
      }
      if (!IsSuccess(response->status)) {
        callback(tl::unexpected(ToEngineStatusError(response->status)));
        return;
      }
      callback(std::move(response->body));
    });
  }

  void SendForSuccess(HttpClient& http,
                      HttpRequest request,
                      DoneCallback callback) {
    SendForAnswer(http, std::move(request),
                  [callback = std::move(callback)](Result<SharedBytes> answer) {
                    callback(answer.map([](const SharedBytes&) {}));
                  });
  }

  void SendForJson(HttpRequest request,
                   std::function<void(Result<json>)> callback) {
    SendForAnswer(control_, std::move(request),
                  [callback = std::move(callback)](Result<SharedBytes> answer) {
                    callback(answer.map([](const SharedBytes& bytes) {
                      return ParseJson(*bytes);
                    }));
                  });
  }

  // Deleting something that the engine does not have succeeds, since a delete
  // may be repeated.
  void SendDelete(const EngineAddress& engine,
                  const std::string& target,
                  DoneCallback callback) {
    SendForSuccess(control_, MakeControlRequest(engine, "DELETE", target),
                   [callback = std::move(callback)](Result<void> done) {
                     const bool is_missing =
                         !done && done.error().code == ErrorCode::kNotFound;
                     callback(is_missing ? Result<void>() : std::move(done));
                   });
  }

  HttpClient& data_;
  HttpClient& control_;
  Clock& clock_;
  EngineClientSettings settings_;
};

}  // namespace

std::unique_ptr<EngineClient> CreateEngineHttpClient(
    HttpClient& data,
    HttpClient& control,
    Clock& clock,
    const EngineClientSettings& settings) {
  return std::make_unique<EngineHttpClient>(data, control, clock, settings);
}

}  // namespace kingcupdrift
