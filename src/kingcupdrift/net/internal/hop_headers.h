#ifndef KINGCUPDRIFT_NET_INTERNAL_HOP_HEADERS_H_
#define KINGCUPDRIFT_NET_INTERNAL_HOP_HEADERS_H_

#include <string_view>

namespace kingcupdrift {

/// True for headers that are never passed on: hop-by-hop headers, and Host,
/// Expect and Content-Length, which each connection sets for itself.
bool IsHopHeader(std::string_view name);
/// True for headers of a caller that are not passed on to a target:
/// Authorization, X-Request-Id, X-Attempt-Id, Idempotency-Key, Request-Timeout
/// and X-Time-Left-Ms. The entry (the serving process) itself sets those that a
/// target needs.
bool IsDroppedCallerHeader(std::string_view name);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_HOP_HEADERS_H_
