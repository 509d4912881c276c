#ifndef KINGCUPDRIFT_NET_STORE_HTTP_CLIENT_H_
#define KINGCUPDRIFT_NET_STORE_HTTP_CLIENT_H_

#include <memory>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

struct StoreClientSettings {
  /// Address of the gateway.
  Endpoint endpoint;
  /// Timeout of each call except watches.
  Duration call_timeout = std::chrono::seconds(2);
  /// A watch reconnects this often, which bounds how long a stalled connection
  /// can hide changes.
  Duration watch_renewal = std::chrono::seconds(5);
};

/// Creates a client of the platform's key-value store, which is reached through
/// the JSON gateway of etcd v3.
std::unique_ptr<PlatformStore> CreateStoreHttpClient(
    HttpClient& http,
    Clock& clock,
    const StoreClientSettings& settings);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_STORE_HTTP_CLIENT_H_
