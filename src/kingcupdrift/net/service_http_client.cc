#include <string>
#include <utility>

#include "kingcupdrift/net/engine_http_client.h"
#include "kingcupdrift/net/internal/hop_headers.h"

namespace kingcupdrift {
namespace {

HeaderList MakeServiceHeaders(const ServiceRequest& request) {
  HeaderList headers;
  for (const auto& header : request.headers) {
    if (!IsHopHeader(header.first) && !IsDroppedCallerHeader(header.first)) {
      headers.push_back(header);
    }
  }
  headers.emplace_back("X-Request-Id", request.request.value());
  headers.emplace_back("X-Attempt-Id", request.attempt.value());
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.time_left);
  headers.emplace_back("X-Time-Left-Ms", std::to_string(left.count()));
  if (!request.idempotency_key.empty()) {
    headers.emplace_back("Idempotency-Key", request.idempotency_key);
  }
  return headers;
}

// If a sent request has no response, it may or may not have run.
Error ToServiceError(Error error) {
  if (error.code != ErrorCode::kUnavailable) {
    error.code = ErrorCode::kUnknownEffect;
  }
  return error;
}

class HttpServiceCall : public ServiceCall {
 public:
  explicit HttpServiceCall(std::unique_ptr<HttpCall> call)
      : call_(std::move(call)) {}

 private:
  std::unique_ptr<HttpCall> call_;
};

class ServiceHttpClient : public ServiceClient {
 public:
  explicit ServiceHttpClient(HttpClient& http) : http_(http) {}

  std::unique_ptr<ServiceCall> Call(const EngineAddress& target,
                                    const ServiceRequest& request,
                                    Callback callback) override {
    HttpRequest out;
    out.server = target.endpoint;
    out.method = request.method;
    out.target = request.target;
    out.headers = MakeServiceHeaders(request);
    if (request.body) {
      out.body = {{request.body, std::string_view(*request.body)}};
    }
    out.needs_new_connection = request.needs_new_connection;
    // A service need not say which request it answers. An earlier refusal that
    // it sends once more would pass as the answer to the next request.
    out.closes_after_error = true;
    out.time_limit = request.time_left;
    return std::make_unique<HttpServiceCall>(http_.Fetch(
        std::move(out),
        [callback = std::move(callback)](Result<HttpResponse> response) {
          if (!response) {
            callback(tl::unexpected(ToServiceError(response.error())));
            return;
          }
          ServiceResponse answer;
          answer.status = response->status;
          answer.headers = std::move(response->headers);
          answer.body = std::move(response->body);
          callback(std::move(answer));
        }));
  }

 private:
  HttpClient& http_;
};

}  // namespace

std::unique_ptr<ServiceClient> CreateServiceHttpClient(HttpClient& http) {
  return std::make_unique<ServiceHttpClient>(http);
}

}  // namespace kingcupdrift
