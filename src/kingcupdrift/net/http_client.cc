#include "kingcupdrift/net/http_client.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "kingcupdrift/net/internal/client_call.h"
#include "kingcupdrift/net/internal/connection_pool.h"

namespace kingcupdrift {
namespace {

// Gathers a response and passes it to the callback when complete.
class FetchCall : public HttpCall, public HttpResponseObserver {
 public:
  FetchCall(ByteCount max_bytes, HttpClient::Callback callback)
      : max_bytes_(max_bytes), callback_(std::move(callback)) {}

  void Start(ConnectionPool& pool, HttpRequest request) {
    call_ = CreateClientCall(pool, std::move(request), *this);
  }

  void SetPaused(bool is_paused) override { call_->SetPaused(is_paused); }

  void OnHeaders(int status, const HeaderList& headers) override {
    response_.status = status;
    response_.headers = headers;
  }

  void OnBytes(std::string_view bytes) override {
    if (static_cast<std::int64_t>(body_.size() + bytes.size()) >
        max_bytes_.value()) {
      OnError({ErrorCode::kProtocol, "the response is too large"});
      return;
    }
    body_.append(bytes);
  }

  void OnEnd() override {
    response_.body = std::make_shared<const std::string>(std::move(body_));
    Finish(std::move(response_));
  }

  void OnError(Error error) override {
    Finish(tl::unexpected(std::move(error)));
  }

 private:
  void Finish(Result<HttpResponse> result) {
    call_.reset();
    // The callback may destroy this call.
    const auto callback = std::move(callback_);
    callback(std::move(result));
  }

  ByteCount max_bytes_;
  HttpClient::Callback callback_;
  HttpResponse response_;
  std::string body_;
  std::unique_ptr<HttpCall> call_;
};

class PooledHttpClient : public HttpClient {
 public:
  PooledHttpClient(EventLoop& loop,
                   Clock& clock,
                   const HttpClientSettings& settings)
      : max_response_bytes_(settings.max_response_bytes),
        pool_(loop, clock, settings) {}

  std::unique_ptr<HttpCall> Fetch(HttpRequest request,
                                  Callback callback) override {
    auto call =
        std::make_unique<FetchCall>(max_response_bytes_, std::move(callback));
    call->Start(pool_, std::move(request));
    return call;
  }

  void Send(HttpRequest request, Callback callback) override {
    const std::uint64_t id = next_id_++;
    auto finish = [this, id, callback = std::move(callback)](
                      Result<HttpResponse> result) {
      const auto keep_alive = owned_calls_.extract(id);
      callback(std::move(result));
    };
    owned_calls_.emplace(id, Fetch(std::move(request), std::move(finish)));
  }

  std::unique_ptr<HttpCall> Stream(HttpRequest request,
                                   HttpResponseObserver& observer) override {
    return CreateClientCall(pool_, std::move(request), observer);
  }

  ByteCount BytesReceived() const override {
    return ByteCount(pool_.counters().bytes_received);
  }
  ByteCount BytesSent() const override {
    return ByteCount(pool_.counters().bytes_sent);
  }
  std::uint64_t CountInvalidHeads() const override {
    return pool_.counters().invalid_heads;
  }

 private:
  ByteCount max_response_bytes_;
  ConnectionPool pool_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<HttpCall>> owned_calls_;
};

}  // namespace

std::unique_ptr<HttpClient> HttpClient::Create(
    EventLoop& loop,
    Clock& clock,
    const HttpClientSettings& settings) {
  return std::make_unique<PooledHttpClient>(loop, clock, settings);
}

}  // namespace kingcupdrift
