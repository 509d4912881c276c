#ifndef KINGCUPDRIFT_NET_STORE_HTTP_CLIENT_H_
#define KINGCUPDRIFT_NET_STORE_HTTP_CLIENT_H_

#include <memory>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

struct StoreClientSettings {
  Endpoint endpoint;
  /// Limit of each call but watches.
  Duration call_timeout = std::chrono::seconds(2);
  /// A watch moves to a new connection this often, so that a connection that
  /// went silent hides changes no longer than this.
  Duration watch_renewal = std::chrono::seconds(5);
};

/// The platform's key-value service over the JSON gateway of etcd v3.
std::unique_ptr<PlatformStore> CreateStoreHttpClient(
    HttpClient& http,
    Clock& clock,
    const StoreClientSettings& settings);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_STORE_HTTP_CLIENT_H_
