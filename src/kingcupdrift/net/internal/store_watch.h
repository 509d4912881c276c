#ifndef KINGCUPDRIFT_NET_INTERNAL_STORE_WATCH_H_
#define KINGCUPDRIFT_NET_INTERNAL_STORE_WATCH_H_

#include <memory>
#include <string>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/store_http_client.h"

namespace kingcupdrift {

/// Starts a watch of the keys under `prefix`. It reconnects every
/// `watch_renewal` and continues after the last version that it reported.
std::unique_ptr<StoreWatch> CreateStoreWatch(
    HttpClient& http,
    Clock& clock,
    const StoreClientSettings& settings,
    const std::string& prefix,
    StoreVersion after,
    PlatformStore::WatchCallback callback);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_STORE_WATCH_H_
