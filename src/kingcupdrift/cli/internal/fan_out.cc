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
  struct Gathering {
    std::vector<InstanceResponse> answers;
    std::size_t missing = 0;
  };
  // Shared with callbacks that come after the limit.
  const auto gathering = std::make_shared<Gathering>();
  gathering->missing = instances.size();
  for (const Endpoint& it : instances) {
    gathering->answers.push_back(
        {it, MakeError(ErrorCode::kDeadlineExceeded,
                       "no answer within the time limit")});
  }
  for (std::size_t i = 0; i < instances.size(); ++i) {
    admin.Get(instances[i], target, [gathering, i](Result<std::string> body) {
      gathering->answers[i].body = std::move(body);
      --gathering->missing;
    });
  }
  loop.RunUntil([&gathering] { return gathering->missing == 0; }, time_limit);
  return gathering->answers;
}

}  // namespace kingcupdrift::internal
