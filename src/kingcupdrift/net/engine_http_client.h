#ifndef KINGCUPDRIFT_NET_ENGINE_HTTP_CLIENT_H_
#define KINGCUPDRIFT_NET_ENGINE_HTTP_CLIENT_H_

#include <memory>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

struct EngineClientSettings {
  /// Timeout of each control call.
  Duration control_timeout = std::chrono::seconds(2);
  /// Timeout of a cache export or import.
  Duration transfer_timeout = std::chrono::seconds(30);
};

/// Creates a client that calls engines over HTTP, as described in docs/API.md:
/// completions as server-sent events, and a control API. Streams and cache
/// transfers use `data` and all other calls `control`, so that the traffic of
/// each is counted separately.
std::unique_ptr<EngineClient> CreateEngineHttpClient(
    HttpClient& data,
    HttpClient& control,
    Clock& clock,
    const EngineClientSettings& settings);

/// Creates a client that passes callers' requests on to plain services: targets
/// that serve no model.
std::unique_ptr<ServiceClient> CreateServiceHttpClient(HttpClient& http);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_ENGINE_HTTP_CLIENT_H_
