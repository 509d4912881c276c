#ifndef TESTS_FAKES_STANDIN_SERVICE_STANDIN_H_
#define TESTS_FAKES_STANDIN_SERVICE_STANDIN_H_

#include <memory>

#include "tests/fakes/delayed_task_runner.h"
#include "tests/fakes/fake_service.h"
#include "tests/fakes/standin/standin_server.h"

namespace kingcupdrift::fakes {

/// Serves a plain service that executes every call. On its control listener,
/// GET /counters returns the number of executions of each idempotency key, and
/// POST /run_time with {"ms":n} sets the duration of a call.
class ServiceStandin {
 public:
  ServiceStandin(EventLoop& loop, Clock& clock, Duration run_time);

  Result<void> Listen(std::uint16_t port, std::uint16_t control_port);

 private:
  void OnRequest(std::unique_ptr<HttpExchange> exchange);

  ServiceModel model_;
  StandinServer server_;
  DelayedTaskRunner answers_;
  Duration run_time_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_SERVICE_STANDIN_H_
