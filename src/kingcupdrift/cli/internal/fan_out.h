#ifndef KINGCUPDRIFT_CLI_INTERNAL_FAN_OUT_H_
#define KINGCUPDRIFT_CLI_INTERNAL_FAN_OUT_H_

#include <string>
#include <vector>

#include "kingcupdrift/cli/internal/admin_client.h"
#include "kingcupdrift/cli/internal/command_loop.h"

namespace kingcupdrift::internal {

/// The response body of one instance, or an error.
struct InstanceResponse {
  Endpoint instance;
  Result<std::string> body;
};

/// Sends GET `target` to all instances at once and waits for their responses,
/// in the order of `instances`. An instance that does not respond within
/// `time_limit` has the error kDeadlineExceeded.
std::vector<InstanceResponse> QueryAllInstances(
    const std::vector<Endpoint>& instances,
    const std::string& target,
    AdminClient& admin,
    CommandLoop& loop,
    Duration time_limit);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_FAN_OUT_H_
