#include "kingcupdrift/net/http_server.h"

#include <cerrno>
#include <map>
#include <utility>

#include "kingcupdrift/net/connection_budget.h"
#include "kingcupdrift/net/internal/server_connection.h"
#include "kingcupdrift/net/internal/socket_address.h"
#include "kingcupdrift/net/internal/tcp_listener.h"
#include "kingcupdrift/net/loop_clock.h"

namespace kingcupdrift {
namespace {

const Logger kLog("http");

constexpr int kUnavailable = 503;

class LibeventServer : public HttpServer, private ConnectionOwner {
 public:
  LibeventServer(EventLoop& loop,
                 const HttpServerSettings& settings,
                 Handler handler)
      : loop_(loop),
        clock_(loop),
        settings_(settings),
        handler_(std::move(handler)),
        own_budget_(clock_, ConnectionBudgetSettings()),
        budget_(settings.budget != nullptr ? *settings.budget : own_budget_),
        listener_(clock_,
                  "http",
                  {[this](int socket) { Accept(socket); },
                   [this](int error) { HandleAcceptError(error); }}) {}

  ~LibeventServer() override {
    // Closing a connection removes it from the map.
    while (!connections_.empty()) {
      const auto connection = connections_.begin()->second;
      connection->Close();
    }
  }

  Result<void> Bind(const Endpoint& endpoint) {
    Result<void> bound = listener_.Bind(loop_.base(), endpoint);
    if (bound && settings_.receive_buffer_bytes > ByteCount(0)) {
      // Accepted connections inherit it.
      SetReceiveBuffer(listener_.socket(), settings_.receive_buffer_bytes);
    }
    return bound;
  }

  Endpoint endpoint() const override { return listener_.endpoint(); }

  void SetLimits(const HttpServerSettings& settings) override {
    const ByteCount receive_buffer_bytes = settings_.receive_buffer_bytes;
    settings_ = settings;
    settings_.receive_buffer_bytes = receive_buffer_bytes;
  }

  std::size_t CountUnfinishedExchanges() const override { return *unfinished_; }

 private:
  EventLoop& loop() override { return loop_; }
  const HttpServerSettings& settings() const override { return settings_; }
  ConnectionBudget& budget() override { return budget_; }
  std::shared_ptr<std::size_t> unfinished_count() const override {
    return unfinished_;
  }

  void Accept(int socket) {
    ConnectionOwner& owner = *this;
    const auto connection = std::make_shared<ServerConnection>(owner, socket);
    connections_.emplace(connection.get(), connection);
    connection->Start();
    if (!budget_.MakeRoomFor(connection->account())) {
      connection->Refuse(kUnavailable);
    }
  }

  void HandleAcceptError(int error) {
    if (error == EMFILE || error == ENFILE) {
      budget_.EvictOne(nullptr);
    }
  }

  void HandleRequest(std::unique_ptr<HttpExchange> exchange) override {
    if (exchange->body()->size() < kLargeBodyBytes) {
      handler_(std::move(exchange));
    } else {
      HandleLater(std::move(exchange));
    }
  }

  // Joining the parts of a large body already takes long, so the handler runs
  // in the next loop iteration.
  void HandleLater(std::unique_ptr<HttpExchange> exchange) {
    // Tasks must be copyable, so a shared_ptr holds the exchange.
    const auto holder =
        std::make_shared<std::unique_ptr<HttpExchange>>(std::move(exchange));
    const std::weak_ptr<bool> alive = alive_;
    loop_.Post([this, holder, alive] {
      if (!alive.expired() && !(*holder)->IsClosed()) {
        handler_(std::move(*holder));
      }
    });
  }

  void Remove(ServerConnection& connection) override {
    connections_.erase(&connection);
  }

  EventLoop& loop_;
  LoopClock clock_;
  HttpServerSettings settings_;
  Handler handler_;
  ConnectionBudget own_budget_;
  ConnectionBudget& budget_;
  // Expires with the server, so that pending tasks do not use it afterwards.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Shared with the connections, which may outlive the server.
  std::shared_ptr<std::size_t> unfinished_ = std::make_shared<std::size_t>(0);
  std::map<ServerConnection*, std::shared_ptr<ServerConnection>> connections_;
  TcpListener listener_;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    EventLoop& loop,
    const Endpoint& endpoint,
    const HttpServerSettings& settings,
    Handler handler) {
  auto server =
      std::make_unique<LibeventServer>(loop, settings, std::move(handler));
  const Result<void> bound = server->Bind(endpoint);
  if (!bound) {
    return tl::unexpected(bound.error());
  }
  kLog.Debug("Listening at {}.", ToString(server->endpoint()));
  return server;
}

}  // namespace kingcupdrift
