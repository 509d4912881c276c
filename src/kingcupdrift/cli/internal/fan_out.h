#ifndef KINGCUPDRIFT_CLI_INTERNAL_FAN_OUT_H_
#define KINGCUPDRIFT_CLI_INTERNAL_FAN_OUT_H_

#include <string>
#include <vector>

#include "kingcupdrift/cli/internal/admin_client.h"
#include "kingcupdrift/cli/internal/command_loop.h"

namespace kingcupdrift::internal {

/// What one instance answered.
struct InstanceResponse {
  Endpoint instance;
  Result<std::string> body;
};

/// Asks all instances at once and waits for their answers; those that do not
/// come in time end as kDeadlineExceeded. Keeps the order of `instances`.
std::vector<InstanceResponse> QueryAllInstances(
    const std::vector<Endpoint>& instances,
    const std::string& target,
    AdminClient& admin,
    CommandLoop& loop,
    Duration time_limit);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_FAN_OUT_H_
