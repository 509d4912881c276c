#include "kingcupdrift/net/store_http_client.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "kingcupdrift/api/json_fields.h"
#include "kingcupdrift/net/internal/store_protocol.h"
#include "kingcupdrift/net/internal/store_watch.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

enum class CallKind { kRead, kWrite };

// Once a write was sent, only its response can show that it had no effect.
Error ToStoreError(CallKind kind, Error error) {
  if (error.code == ErrorCode::kUnavailable) {
    return error;
  }
  if (kind == CallKind::kWrite) {
    return {ErrorCode::kUnknownEffect, std::move(error.detail)};
  }
  if (error.code == ErrorCode::kDeadlineExceeded) {
    return error;
  }
  return {ErrorCode::kConnectionLost, std::move(error.detail)};
}

Error ToStatusError(CallKind kind, int status) {
  const std::string detail =
      "the store answered with status " + std::to_string(status);
  if (status == kStatusNotFound) {
    return {ErrorCode::kNotFound, detail};
  }
  // A gateway answers 5xx if a write timed out behind it, so the write may have
  // taken effect.
  return ToStoreError(kind, {ErrorCode::kConnectionLost, detail});
}

class StoreHttpClient : public PlatformStore {
 public:
  StoreHttpClient(HttpClient& http,
                  Clock& clock,
                  const StoreClientSettings& settings)
      : http_(http), clock_(clock), settings_(settings) {}

  void Get(const std::string& key, GetCallback callback) override {
    Call("/v3/kv/range", MakeGetRequest(key), CallKind::kRead,
         [callback = std::move(callback)](Result<json> answer) {
           callback(ToOptionalValue(std::move(answer)));
         });
  }

  void List(const std::string& prefix, ListCallback callback) override {
    Call("/v3/kv/range", MakePrefixRequest(prefix), CallKind::kRead,
         [callback = std::move(callback)](Result<json> answer) {
           callback(answer.and_then(ReadRangeAnswer));
         });
  }

  void CompareAndSwap(const std::string& key,
                      StoreVersion expected,
                      std::string value,
                      LeaseId lease,
                      WriteCallback callback) override {
    Write(MakeSwapRequest(key, expected, value, lease), std::move(callback));
  }

  void CompareAndDelete(const std::string& key,
                        StoreVersion expected,
                        WriteCallback callback) override {
    Write(MakeDeleteRequest(key, expected), std::move(callback));
  }

  void GrantLease(Duration time_to_live, LeaseCallback callback) override {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(time_to_live).count();
    Call("/v3/lease/grant", {{"TTL", std::to_string(seconds)}, {"ID", "0"}},
         CallKind::kWrite,
         [callback = std::move(callback)](Result<json> answer) {
           callback(answer.and_then(ReadLease));
         });
  }

  void KeepAlive(LeaseId lease, DoneCallback callback) override {
    Call("/v3/lease/keepalive", {{"ID", std::to_string(lease.value())}},
         CallKind::kWrite,
         [callback = std::move(callback)](Result<json> answer) {
           callback(answer.and_then(ReadKeepAlive));
         });
  }

  void Revoke(LeaseId lease, DoneCallback callback) override {
    Call("/v3/lease/revoke", {{"ID", std::to_string(lease.value())}},
         CallKind::kWrite,
         [callback = std::move(callback)](Result<json> answer) {
           callback(answer.map([](const json&) {}));
         });
  }

  std::unique_ptr<StoreWatch> Watch(const std::string& prefix,
                                    StoreVersion after,
                                    WatchCallback callback) override {
    return CreateStoreWatch(http_, clock_, settings_, prefix, after,
                            std::move(callback));
  }

 private:
  using AnswerCallback = std::function<void(Result<json>)>;

  static Result<std::optional<StoreValue>> ToOptionalValue(
      Result<json> answer) {
    auto listing = answer.and_then(ReadRangeAnswer);
    if (!listing) {
      return tl::unexpected(listing.error());
    }
    std::optional<StoreValue> value;
    if (!listing->entries.empty()) {
      value = std::move(listing->entries.front().value);
    }
    return value;
  }

  static Result<LeaseId> ReadLease(const json& answer) {
    const LeaseId lease(GetIntegerField(answer, "ID"));
    if (lease.value() == 0) {
      return MakeError(ErrorCode::kProtocol, "the store granted no lease");
    }
    return lease;
  }

  static Result<void> ReadKeepAlive(const json& answer) {
    if (GetIntegerField(GetObjectField(answer, "result"), "TTL") <= 0) {
      return MakeError(ErrorCode::kNotFound, "the lease has ended");
    }
    return {};
  }

  void Write(const json& request, WriteCallback callback) {
    Call("/v3/kv/txn", request, CallKind::kWrite,
         [callback = std::move(callback)](Result<json> answer) {
           callback(answer.and_then(ReadWrite));
         });
  }

  // A write with a malformed response may or may not have taken effect.
  static Result<StoreVersion> ReadWrite(const json& answer) {
    Result<StoreVersion> version = ReadTransactionAnswer(answer);
    if (!version && version.error().code == ErrorCode::kProtocol) {
      return MakeError(ErrorCode::kUnknownEffect, version.error().detail);
    }
    return version;
  }

  void Call(const char* target,
            const json& body,
            CallKind kind,
            AnswerCallback callback) {
    HttpRequest request;
    request.server = settings_.endpoint;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = MakeBody(ToJson(body));
    request.time_limit = settings_.call_timeout;
    auto finish =
        [kind, callback = std::move(callback)](Result<HttpResponse> response) {
          callback(ToAnswer(kind, std::move(response)));
        };
    http_.Send(std::move(request), std::move(finish));
  }

  static Result<json> ToAnswer(CallKind kind, Result<HttpResponse> response) {
    if (!response) {
      return tl::unexpected(ToStoreError(kind, std::move(response.error())));
    }
    if (response->status != kStatusOk) {
      return tl::unexpected(ToStatusError(kind, response->status));
    }
    return ParseJson(*response->body);
  }

  HttpClient& http_;
  Clock& clock_;
  StoreClientSettings settings_;
};

}  // namespace

std::unique_ptr<PlatformStore> CreateStoreHttpClient(
    HttpClient& http,
    Clock& clock,
    const StoreClientSettings& settings) {
  return std::make_unique<StoreHttpClient>(http, clock, settings);
}

}  // namespace kingcupdrift
