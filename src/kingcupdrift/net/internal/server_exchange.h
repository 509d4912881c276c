#ifndef KINGCUPDRIFT_NET_INTERNAL_SERVER_EXCHANGE_H_
#define KINGCUPDRIFT_NET_INTERNAL_SERVER_EXCHANGE_H_

#include <memory>

#include "kingcupdrift/net/http_server.h"
#include "kingcupdrift/net/internal/request_parser.h"

namespace kingcupdrift {

class ServerConnection;

/// Makes the exchange of a complete request, whose parts it moves out of
/// `request`. It may outlive the connection.
std::unique_ptr<HttpExchange> CreateServerExchange(ServerConnection& connection,
                                                   RequestParser& request);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_SERVER_EXCHANGE_H_
