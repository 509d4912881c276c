#ifndef KINGCUPDRIFT_NET_NET_H_
#define KINGCUPDRIFT_NET_NET_H_

/// @file
/// Public header of the network library: event loop, HTTP client and server,
/// clients of the platform and of engines, and the links between entries
/// (serving processes).

#include "kingcupdrift/net/connection_budget.h"     // IWYU pragma: export
#include "kingcupdrift/net/engine_http_client.h"    // IWYU pragma: export
#include "kingcupdrift/net/entry_process.h"         // IWYU pragma: export
#include "kingcupdrift/net/event_loop.h"            // IWYU pragma: export
#include "kingcupdrift/net/http_client.h"           // IWYU pragma: export
#include "kingcupdrift/net/http_server.h"           // IWYU pragma: export
#include "kingcupdrift/net/instance_list_client.h"  // IWYU pragma: export
#include "kingcupdrift/net/loop_clock.h"            // IWYU pragma: export
#include "kingcupdrift/net/store_http_client.h"     // IWYU pragma: export
#include "kingcupdrift/net/tcp_peer_link.h"         // IWYU pragma: export

#endif  // KINGCUPDRIFT_NET_NET_H_
