#ifndef KINGCUPDRIFT_NET_INTERNAL_RESPONSE_CHECK_H_
#define KINGCUPDRIFT_NET_INTERNAL_RESPONSE_CHECK_H_

#include <cstddef>
#include <string_view>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Bytes of a status line up to the status, and one more.
inline constexpr std::size_t kStatusBytes = 13;

/// Returns what makes the head of a response invalid, or null if nothing does.
/// libevent takes a prefix of a status or a length that is a number, and the
/// first of several lengths, so that such a response would pass as an answer.
/// `status_line` holds the first `kStatusBytes` of the head.
const char* FindHeadFault(std::string_view status_line,
                          const HeaderList& headers);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_RESPONSE_CHECK_H_
