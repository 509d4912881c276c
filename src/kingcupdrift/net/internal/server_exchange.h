#ifndef KINGCUPDRIFT_NET_INTERNAL_SERVER_EXCHANGE_H_
#define KINGCUPDRIFT_NET_INTERNAL_SERVER_EXCHANGE_H_

#include <memory>

#include "kingcupdrift/net/event_loop.h"
#include "kingcupdrift/net/http_server.h"

struct evhttp_request;

namespace kingcupdrift {

/// Wraps a request that evhttp has read completely. `*unfinished_count` is
/// raised by one until the response was sent or the exchange is destroyed. See
/// `HttpServerSettings` for `max_kernel_unsent_bytes`.
std::unique_ptr<HttpExchange> CreateServerExchange(
    EventLoop& loop,
    evhttp_request* request,
    std::shared_ptr<std::size_t> unfinished_count,
    ByteCount max_kernel_unsent_bytes);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_SERVER_EXCHANGE_H_
