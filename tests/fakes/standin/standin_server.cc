#include "tests/fakes/standin/standin_server.h"

#include <fmt/format.h>

#include <cstdio>
#include <utility>

namespace kingcupdrift::fakes {
namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr const char* kJsonType = "application/json";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

HttpServerSettings LargeBodies() {
  HttpServerSettings settings;
  settings.max_body_bytes = ByteCount(64'000'000);
  settings.inactivity_timeout = std::chrono::hours(1);
  return settings;
}

}  // namespace

Json ParseBody(const HttpExchange& exchange) {
  return Json::parse(*exchange.body(), nullptr, /*allow_exceptions=*/false);
}

StandinServer::StandinServer(EventLoop& loop, Clock& clock)
    : loop_(loop), delayed_(clock) {
  AddControl("POST /fault",
             [this](const Json& request) { return SetFault(request); });
  AddControl("POST /lose_replies", [this](const Json& request) {
    replies_to_lose_ += request.value("n", 1);
    return Json::object();
  });
}

Result<void> StandinServer::Listen(const std::string& name,
                                   std::uint16_t port,
                                   std::uint16_t control_port,
                                   Handler handler) {
  handler_ = std::move(handler);
  endpoint_ = {kLoopback, port};
  if (Result<void> opened = OpenListener(); !opened) {
    return opened;
  }
  endpoint_ = server_->endpoint();
  auto control = HttpServer::Listen(
      loop_, {kLoopback, control_port}, {},
      [this](std::unique_ptr<HttpExchange> it) { OnControl(std::move(it)); });
  if (!control) {
    return tl::unexpected(control.error());
  }
  control_ = *std::move(control);
  fmt::print("{} ready {} {}\n", name, endpoint_.port,
             control_->endpoint().port);
  std::fflush(stdout);
  return {};
}

Result<void> StandinServer::OpenListener() {
  auto server = HttpServer::Listen(
      loop_, endpoint_, LargeBodies(),
      [this](std::unique_ptr<HttpExchange> it) { OnRequest(std::move(it)); });
  if (!server) {
    return tl::unexpected(server.error());
  }
  server_ = *std::move(server);
  return {};
}

void StandinServer::AddControl(const std::string& route,
                               ControlHandler handler) {
  controls_[route] = std::move(handler);
}

void StandinServer::OnRequest(std::unique_ptr<HttpExchange> exchange) {
  if (fault_.drops_requests) {
    dropped_exchanges_.push_back(std::move(exchange));
    return;
  }
  if (fault_.delay == Duration::zero()) {
    handler_(std::move(exchange));
    return;
  }
  // The task must be copyable, since std::function holds it.
  const auto waiting =
      std::make_shared<std::unique_ptr<HttpExchange>>(std::move(exchange));
  delayed_.Post(fault_.delay,
                [this, waiting] { handler_(std::move(*waiting)); });
}

void StandinServer::OnControl(std::unique_ptr<HttpExchange> exchange) {
  const std::string route =
      fmt::format("{} {}", exchange->method(), exchange->GetPath());
  const auto it = controls_.find(route);
  if (it == controls_.end()) {
    exchange->RespondText(kNotFound, kJsonType, "{}");
    return;
  }
  Json request = Json::object();
  if (!exchange->body()->empty()) {
    request = ParseBody(*exchange);
  }
  if (!request.is_object()) {
    exchange->RespondText(kBadRequest, kJsonType, "{}");
    return;
  }
  exchange->RespondText(kOk, kJsonType, it->second(request).dump());
}

Json StandinServer::SetFault(const Json& request) {
  fault_.is_down = request.value("down", false);
  fault_.drops_requests = request.value("silent", false);
  fault_.delay = std::chrono::milliseconds(request.value("delay_ms", 0));
  if (fault_.is_down) {
    if (before_down_) {
      before_down_();
    }
    dropped_exchanges_.clear();
    server_.reset();
    return Json::object();
  }
  if (!server_) {
    if (const Result<void> opened = OpenListener(); !opened) {
      return {{"error", opened.error().detail}};
    }
  }
  return Json::object();
}

bool StandinServer::ConsumeLostReply() {
  if (replies_to_lose_ == 0) {
    return false;
  }
  --replies_to_lose_;
  return true;
}

void StandinServer::Reply(std::unique_ptr<HttpExchange> exchange,
                          int status,
                          const Json& body,
                          bool is_change) {
  if (is_change && ConsumeLostReply()) {
    return;
  }
  exchange->RespondText(status, kJsonType, body.dump());
}

}  // namespace kingcupdrift::fakes
