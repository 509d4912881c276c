#include "kingcupdrift/cli/internal/fan_out.h"

#include <memory>
#include <utility>

namespace kingcupdrift::internal {

std::vector<InstanceResponse> QueryAllInstances(
    const std::vector<Endpoint>& instances,
    const std::string& target,
    AdminClient& admin,
    CommandLoop& loop,
    Duration time_limit) {
  struct Responses {
    std::vector<InstanceResponse> answers;
    std::size_t missing = 0;
  };
  // Shared, because callbacks may still run after this function returned.
  const auto responses = std::make_shared<Responses>();
  responses->missing = instances.size();
  for (const Endpoint& it : instances) {
    responses->answers.push_back(
        {it, MakeError(ErrorCode::kDeadlineExceeded,
                       "no answer within the time limit")});
  }
  for (std::size_t i = 0; i < instances.size(); ++i) {
    admin.Get(instances[i], target, [responses, i](Result<std::string> body) {
      responses->answers[i].body = std::move(body);
      --responses->missing;
    });
  }
  loop.RunUntil([&responses] { return responses->missing == 0; }, time_limit);
  return responses->answers;
}

}  // namespace kingcupdrift::internal
