#include "kingcupdrift/net/http_server.h"

#include <utility>

#include "kingcupdrift/net/internal/http_convert.h"
#include "kingcupdrift/net/internal/libevent_handles.h"
#include "kingcupdrift/net/internal/server_exchange.h"
#include "kingcupdrift/net/internal/socket_address.h"

namespace kingcupdrift {
namespace {

const Logger kLog("http");

class EvhttpServer : public HttpServer {
 public:
  EvhttpServer(EventLoop& loop, Handler handler)
      : loop_(loop),
        handler_(std::move(handler)),
        http_(evhttp_new(loop.base())) {}

  Result<void> Bind(const Endpoint& endpoint,
                    const HttpServerSettings& settings) {
    evhttp* const http = http_.get();
    SetLimits(settings);
    evhttp_set_default_content_type(http, nullptr);
    evhttp_set_allowed_methods(http, kSupportedHttpMethods);
    evhttp_set_gencb(http, &HandleRequest, this);
    evhttp_bound_socket* const bound = evhttp_bind_socket_with_handle(
        http, endpoint.host.c_str(), endpoint.port);
    if (bound == nullptr) {
      return MakeError(ErrorCode::kUnavailable,
                       "cannot listen at " + ToString(endpoint));
    }
    endpoint_ = {endpoint.host,
                 GetLocalPort(evhttp_bound_socket_get_fd(bound))};
    return {};
  }

  Endpoint endpoint() const override { return endpoint_; }

  void SetLimits(const HttpServerSettings& settings) override {
    evhttp* const http = http_.get();
    evhttp_set_max_headers_size(http, settings.max_header_bytes.value());
    evhttp_set_max_body_size(http, settings.max_body_bytes.value());
    const timeval limit = ToTimeval(settings.inactivity_timeout);
    evhttp_set_timeout_tv(http, &limit);
    max_kernel_unsent_bytes_ = settings.max_kernel_unsent_bytes;
  }

  std::size_t CountUnfinishedExchanges() const override { return *unfinished_; }

 private:
  static void HandleRequest(evhttp_request* request, void* arg) {
    auto& server = *static_cast<EvhttpServer*>(arg);
    auto exchange =
        CreateServerExchange(server.loop_, request, server.unfinished_,
                             server.max_kernel_unsent_bytes_);
    if (exchange->body()->size() < kLargeBodyBytes) {
      server.handler_(std::move(exchange));
    } else {
      server.HandleLater(std::move(exchange));
    }
  }

  // Copying a large body out of evhttp's buffer already takes long, so the
  // handler runs in the next loop iteration.
  void HandleLater(std::unique_ptr<HttpExchange> exchange) {
    // Tasks must be copyable, so a shared_ptr holds the exchange.
    const auto holder =
        std::make_shared<std::unique_ptr<HttpExchange>>(std::move(exchange));
    const std::weak_ptr<bool> alive = alive_;
    loop_.Post([this, holder, alive] {
      if (!alive.expired()) {
        handler_(std::move(*holder));
      }
    });
  }

  EventLoop& loop_;
  Handler handler_;
  // Expires with the server, so that pending tasks do not use it afterwards.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Shared with the exchanges, which may outlive the server.
  std::shared_ptr<std::size_t> unfinished_ = std::make_shared<std::size_t>(0);
  HttpHandle http_;
  Endpoint endpoint_;
  ByteCount max_kernel_unsent_bytes_;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    EventLoop& loop,
    const Endpoint& endpoint,
    const HttpServerSettings& settings,
    Handler handler) {
  auto server = std::make_unique<EvhttpServer>(loop, std::move(handler));
  const Result<void> bound = server->Bind(endpoint, settings);
  if (!bound) {
    return tl::unexpected(bound.error());
  }
  kLog.Debug("Listening at {}.", ToString(server->endpoint()));
  return server;
}

}  // namespace kingcupdrift
