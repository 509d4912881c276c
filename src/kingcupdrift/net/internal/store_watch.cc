#include "kingcupdrift/net/internal/store_watch.h"

#include <utility>

#include "kingcupdrift/api/json_fields.h"
#include "kingcupdrift/net/internal/store_protocol.h"

namespace kingcupdrift {
namespace {

// Limits the received bytes that are not parsed yet. Exceeds any event, which
// carries at most one value of a megabyte in base64.
constexpr std::size_t kMaxPendingBytes = 16'000'000;

class HttpStoreWatch : public StoreWatch, public HttpResponseObserver {
 public:
  HttpStoreWatch(HttpClient& http,
                 Clock& clock,
                 const StoreClientSettings& settings,
                 std::string prefix,
                 StoreVersion after,
                 PlatformStore::WatchCallback callback)
      : http_(http),
        clock_(clock),
        settings_(settings),
        prefix_(std::move(prefix)),
        last_(after),
        callback_(std::move(callback)) {
    Connect();
  }

  ~HttpStoreWatch() override { *is_destroyed_ = true; }

  void OnHeaders(int status, const HeaderList&) override { status_ = status; }

  void OnBytes(std::string_view bytes) override {
    pending_ += bytes;
    if (pending_.size() > kMaxPendingBytes) {
      Fail({ErrorCode::kProtocol, "a watch event is too large"});
      return;
    }
    TakeLines();
  }

  void OnEnd() override {
    Fail({ErrorCode::kConnectionLost, "the store ended the watch"});
  }

  void OnError(Error error) override { Fail(std::move(error)); }

 private:
  void Connect() {
    status_ = 0;
    pending_.clear();
    searched_bytes_ = 0;
    HttpRequest request;
    request.server = settings_.endpoint;
    request.method = "POST";
    request.target = "/v3/watch";
    const StoreVersion first = last_ + StoreVersion(1);
    request.body = MakeBody(ToJson(MakeWatchRequest(prefix_, first)));
    request.needs_new_connection = true;
    request.time_limit = Duration::zero();
    call_ = http_.Stream(std::move(request), *this);
    renewal_timer_ =
        clock_.RunAfter(settings_.watch_renewal, [this] { Renew(); });
  }

  // Fails if the store has not started the watch within `watch_renewal`.
  void Renew() {
    if (status_ == 0) {
      Fail({ErrorCode::kDeadlineExceeded,
            "the store did not start the watch in time"});
      return;
    }
    Connect();
  }

  void TakeLines() {
    const std::shared_ptr<bool> is_destroyed = is_destroyed_;
    std::size_t start = 0;
    std::size_t end = pending_.find('\n', searched_bytes_);
    while (end != std::string::npos) {
      const auto line =
          ParseJson(std::string_view(pending_).substr(start, end - start));
      start = end + 1;
      TakeMessage(line);
      if (*is_destroyed || !callback_) {
        return;
      }
      end = pending_.find('\n', start);
    }
    pending_.erase(0, start);
    searched_bytes_ = pending_.size();
  }

  void TakeMessage(const nlohmann::json& message) {
    const auto& result = GetObjectField(message, "result");
    if (status_ != 200 || result.empty() || GetBoolField(result, "canceled")) {
      Fail({ErrorCode::kConnectionLost,
            "the store refused or cancelled the watch, or its message is not "
            "readable"});
      return;
    }
    const std::shared_ptr<bool> is_destroyed = is_destroyed_;
    for (const auto& it : GetArrayField(result, "events")) {
      Result<StoreEvent> event = ReadWatchEvent(it);
      if (!event) {
        Fail(event.error());
        return;
      }
      last_ = std::max(last_, event->version);
      callback_(std::move(event));
      if (*is_destroyed) {
        return;
      }
    }
  }

  void Fail(Error error) {
    call_.reset();
    renewal_timer_.reset();
    // The callback may destroy the watch.
    const auto callback = std::exchange(callback_, nullptr);
    if (callback) {
      callback(tl::unexpected(std::move(error)));
    }
  }

  HttpClient& http_;
  Clock& clock_;
  StoreClientSettings settings_;
  std::string prefix_;
  StoreVersion last_;
  PlatformStore::WatchCallback callback_;
  std::unique_ptr<HttpCall> call_;
  std::unique_ptr<Timer> renewal_timer_;
  int status_ = 0;
  std::string pending_;
  // Bytes of `pending_` that hold no line end.
  std::size_t searched_bytes_ = 0;
  // Shared with loops over events, which stop if a callback destroyed the
  // watch.
  std::shared_ptr<bool> is_destroyed_ = std::make_shared<bool>(false);
};

}  // namespace

std::unique_ptr<StoreWatch> CreateStoreWatch(
    HttpClient& http,
    Clock& clock,
    const StoreClientSettings& settings,
    const std::string& prefix,
    StoreVersion after,
    PlatformStore::WatchCallback callback) {
  return std::make_unique<HttpStoreWatch>(http, clock, settings, prefix, after,
                                          std::move(callback));
}

}  // namespace kingcupdrift
