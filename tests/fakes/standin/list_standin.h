#ifndef TESTS_FAKES_STANDIN_LIST_STANDIN_H_
#define TESTS_FAKES_STANDIN_LIST_STANDIN_H_

#include <memory>

#include "tests/fakes/fake_instance_list.h"
#include "tests/fakes/standin/standin_server.h"

namespace kingcupdrift::fakes {

/// Serves an InstanceListModel as Kubernetes EndpointSlices. The control
/// listener changes its rows:
///   POST /set with {"id","ip","port","caller_port","domain","leaving":bool};
///   POST /remove with {"id"}.
class ListStandin {
 public:
  ListStandin(EventLoop& loop, Clock& clock, Duration lag);

  Result<void> Listen(std::uint16_t port, std::uint16_t control_port);

 private:
  void OnRequest(std::unique_ptr<HttpExchange> exchange);

  InstanceListModel model_;
  StandinServer server_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_LIST_STANDIN_H_
