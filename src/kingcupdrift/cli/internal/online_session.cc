#include "kingcupdrift/cli/internal/online_session.h"

#include <random>
#include <utility>

#include "kingcupdrift/cli/internal/flag_table.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift::internal {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnauthorized = 401;

class EventCommandLoop : public CommandLoop {
 public:
  explicit EventCommandLoop(EventLoop& loop) : loop_(loop) {}

  bool RunUntil(const std::function<bool()>& is_done, Duration limit) override {
    return loop_.RunUntil(is_done, limit);
  }

 private:
  EventLoop& loop_;
};

class HttpAdminClient : public AdminClient {
 public:
  HttpAdminClient(HttpClient& http, std::string secret, Duration limit)
      : http_(http), secret_(std::move(secret)), limit_(limit) {}

  void Get(const Endpoint& instance,
           const std::string& target,
           Callback callback) override {
    HttpRequest request;
    request.server = instance;
    request.target = target;
    request.headers.emplace_back("Authorization", "Bearer " + secret_);
    request.time_limit = limit_;
    http_.Send(std::move(request), [callback = std::move(callback)](
                                       const Result<HttpResponse>& response) {
      callback(BodyOf(response));
    });
  }

 private:
  static Result<std::string> BodyOf(const Result<HttpResponse>& response) {
    if (!response) {
      return tl::unexpected(response.error());
    }
    if (response->status == kStatusUnauthorized) {
      return MakeError(ErrorCode::kUnauthorized,
                       "the instance uses another --shared_secret");
    }
    if (response->status != kStatusOk) {
      return MakeError(ErrorCode::kRefused,
                       fmt::format("the instance answered with status {}",
                                   response->status));
    }
    return *response->body;
  }

  HttpClient& http_;
  std::string secret_;
  Duration limit_;
};

}  // namespace

OnlineSession::OnlineSession()
    : clock_(loop_),
      random_(std::random_device()()),
      time_limit_(
          ParseDuration(GetFlagText("time_limit")).value_or(Duration(0))) {
  http_ = HttpClient::Create(loop_, clock_, HttpClientSettings());
  StoreClientSettings settings;
  settings.endpoint = ParseEndpoint(GetFlagText("store")).value_or(Endpoint{});
  store_ = CreateStoreHttpClient(*http_, clock_, settings);
  admin_ = std::make_unique<HttpAdminClient>(
      *http_, GetFlagText("shared_secret"), time_limit_);
  command_loop_ = std::make_unique<EventCommandLoop>(loop_);
}

OnlineSession::~OnlineSession() = default;

Result<std::vector<Endpoint>> OnlineSession::ListInstances() {
  std::vector<Endpoint> out;
  for (const std::string& it : SplitList(GetFlagText("entries"))) {
    out.push_back(ParseEndpoint(it).value_or(Endpoint{}));
  }
  if (!out.empty()) {
    return out;
  }
  const auto list = CreateEndpointSliceInstanceList(
      *http_, ParseEndpoint(GetFlagText("instance_list")).value_or(Endpoint{}));
  const auto rows = Await<std::vector<ListedInstance>>(
      *command_loop_, time_limit_,
      [&list](auto callback) { list->Fetch(callback); });
  if (!rows) {
    return tl::unexpected(rows.error());
  }
  for (const ListedInstance& it : *rows) {
    if (it.caller_endpoint.port == 0) {
      return MakeError(
          ErrorCode::kNotFound,
          fmt::format("the instance list has no port \"callers\" for {}",
                      it.id.value()));
    }
    out.push_back(it.caller_endpoint);
  }
  return out;
}

}  // namespace kingcupdrift::internal
