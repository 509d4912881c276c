#ifndef KINGCUPDRIFT_INTERFACES_SERVICE_CLIENT_H_
#define KINGCUPDRIFT_INTERFACES_SERVICE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/engine_client.h"

namespace kingcupdrift {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A call to a plain service.
struct ServiceRequest {
  RequestId request;
  AttemptId attempt;
  std::string method;
  /// Path and query, as the caller sent them.
  std::string target;
  HeaderList headers;
  SharedBytes body;
  /// Copied to the target, so that it may recognise a repeated call.
  std::string idempotency_key;
  /// Use a connection that is new, as a non-idempotent call must.
  bool needs_new_connection = false;
  Duration time_left{0};
};

struct ServiceResponse {
  int status = 0;
  HeaderList headers;
  SharedBytes body;
};

/// A running call. Destroying it closes the connection and drops the callback.
class ServiceCall {
 public:
  virtual ~ServiceCall() = default;
};

/// Calls to plain services. Errors: kUnavailable when no byte of the request
/// was sent; kUnknownEffect when the call may have run.
class ServiceClient {
 public:
  using Callback = std::function<void(Result<ServiceResponse>)>;

  virtual ~ServiceClient() = default;
  [[nodiscard]] virtual std::unique_ptr<ServiceCall> Call(
      const EngineAddress& target,
      const ServiceRequest& request,
      Callback callback) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_SERVICE_CLIENT_H_
