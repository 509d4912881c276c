#ifndef KINGCUPDRIFT_NET_INTERNAL_HOP_HEADERS_H_
#define KINGCUPDRIFT_NET_INTERNAL_HOP_HEADERS_H_

#include <string_view>

namespace kingcupdrift {

/// Whether a header belongs to one connection and is not passed on.
bool IsHopHeader(std::string_view name);
/// Whether a caller's header is replaced by one of the system's own.
bool IsReplacedHeader(std::string_view name);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_HOP_HEADERS_H_
