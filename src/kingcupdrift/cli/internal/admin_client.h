#ifndef KINGCUPDRIFT_CLI_INTERNAL_ADMIN_CLIENT_H_
#define KINGCUPDRIFT_CLI_INTERNAL_ADMIN_CLIENT_H_

#include <functional>
#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::internal {

/// Sends GET requests for the operators' pages (/admin/) of instances. Each
/// carries the shared secret as its bearer token.
class AdminClient {
 public:
  using Callback = std::function<void(Result<std::string> body)>;

  virtual ~AdminClient() = default;
  /// Requests `target`, such as "/admin/status". Calls `callback` once, with
  /// the body or an error; any status but 200 is an error.
  virtual void Get(const Endpoint& instance,
                   const std::string& target,
                   Callback callback) = 0;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_ADMIN_CLIENT_H_
