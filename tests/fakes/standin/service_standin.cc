#include "tests/fakes/standin/service_standin.h"

#include <utility>

namespace kingcupdrift::fakes {

ServiceStandin::ServiceStandin(EventLoop& loop, Clock& clock, Duration run_time)
    : server_(loop, clock), answers_(clock), run_time_(run_time) {
  server_.AddControl("GET /counters", [this](const Json&) {
    Json runs = Json::object();
    for (const auto& [key, n] : model_.runs_by_key()) {
      runs[key] = n;
    }
    return Json{{"runs", std::move(runs)}};
  });
  server_.AddControl("POST /run_time", [this](const Json& request) {
    run_time_ = std::chrono::milliseconds(request.value("ms", 5));
    return Json::object();
  });
}

Result<void> ServiceStandin::Listen(std::uint16_t port,
                                    std::uint16_t control_port) {
  return server_.Listen(
      "service", port, control_port,
      [this](std::unique_ptr<HttpExchange> it) { OnRequest(std::move(it)); });
}

void ServiceStandin::OnRequest(std::unique_ptr<HttpExchange> exchange) {
  const std::string key(exchange->GetHeader("Idempotency-Key"));
  const ServiceResponse response = model_.Run(key, AttemptId());
  const auto waiting =
      std::make_shared<std::unique_ptr<HttpExchange>>(std::move(exchange));
  const bool is_lost = server_.ConsumeLostReply();
  answers_.Post(run_time_, [waiting, response, is_lost] {
    if (!is_lost) {
      (*waiting)->Respond(response.status, response.headers, response.body);
    }
  });
}

}  // namespace kingcupdrift::fakes
