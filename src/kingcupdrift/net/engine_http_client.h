#ifndef KINGCUPDRIFT_NET_ENGINE_HTTP_CLIENT_H_
#define KINGCUPDRIFT_NET_ENGINE_HTTP_CLIENT_H_

#include <memory>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

struct EngineClientSettings {
  /// Limit of each control call.
  Duration control_timeout = std::chrono::seconds(2);
  /// Limit of a cache export or import.
  Duration transfer_timeout = std::chrono::seconds(30);
};

/// Engines over HTTP: completions as server-sent events and a control API, both
/// described in docs/API.md. Streams and cache transfers use `data`, all other
/// calls `control`, so that their traffic is counted apart.
std::unique_ptr<EngineClient> CreateEngineHttpClient(
    HttpClient& data,
    HttpClient& control,
    Clock& clock,
    const EngineClientSettings& settings);

/// Plain services over HTTP.
std::unique_ptr<ServiceClient> CreateServiceHttpClient(HttpClient& http);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_ENGINE_HTTP_CLIENT_H_
