#ifndef KINGCUPDRIFT_NET_INTERNAL_CLIENT_CALL_H_
#define KINGCUPDRIFT_NET_INTERNAL_CLIENT_CALL_H_

#include <memory>

#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/internal/connection_pool.h"

namespace kingcupdrift {

/// Creates a call that starts in a later iteration of the loop. `pool` and
/// `observer` must outlive it.
std::unique_ptr<HttpCall> CreateClientCall(ConnectionPool& pool,
                                           HttpRequest request,
                                           HttpResponseObserver& observer);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_CLIENT_CALL_H_
