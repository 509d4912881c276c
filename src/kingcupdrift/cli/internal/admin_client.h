#ifndef KINGCUPDRIFT_CLI_INTERNAL_ADMIN_CLIENT_H_
#define KINGCUPDRIFT_CLI_INTERNAL_ADMIN_CLIENT_H_

#include <functional>
#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::internal {

/// Asks instances for what only operators may see.
class AdminClient {
 public:
  using Callback = std::function<void(Result<std::string> body)>;

  virtual ~AdminClient() = default;
  /// GET of `target`, such as "/admin/status". Ends with one callback.
  virtual void Get(const Endpoint& instance,
                   const std::string& target,
                   Callback callback) = 0;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_ADMIN_CLIENT_H_
