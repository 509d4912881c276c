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
  /// Sent to the service, so that it can recognise a repeated call; empty
  /// without one.
  std::string idempotency_key;
  /// Forbids a reused connection. Non-idempotent calls and retries set it: a
  /// failure on a reused connection may leave it unknown whether the service
  /// received the call.
  bool needs_new_connection = false;
  /// Time until the request's deadline, measured when it is sent. The service
  /// is told this value, also if it is zero; zero sets no timeout of the call
  /// itself.
  Duration time_left{0};
};

struct ServiceResponse {
  int status = 0;
  HeaderList headers;
  SharedBytes body;
};

/// A call in progress. Destroying it closes the connection and drops the
/// callback.
class ServiceCall {
 public:
  virtual ~ServiceCall() = default;
};

/// Calls to plain services. Errors: kUnavailable if no byte of the request was
/// sent; kUnknownEffect if the call may have run.
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
