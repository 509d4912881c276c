#ifndef KINGCUPDRIFT_NET_INTERNAL_RESPONSE_HEAD_H_
#define KINGCUPDRIFT_NET_INTERNAL_RESPONSE_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// How the end of a response's body is found.
struct ResponseFraming {
  /// Written as `Content-Length`; absent without one.
  std::optional<std::size_t> length;
  bool is_chunked = false;
};

/// What a response's headers say about its framing and its connection.
struct ResponseHeaderFacts {
  bool has_length = false;
  bool closes_connection = false;
};

ResponseHeaderFacts ReadResponseHeaders(const HeaderList& headers);

/// True if a response with this status never has a body.
bool IsBodyless(int status);

/// The usual reason phrase of a status.
std::string GetReasonPhrase(int status);

/// Formats a response's status line and headers, up to the empty line. Headers
/// that contain line breaks and those that state the framing or persistence
/// are left out, but for a `Content-Length` if `framing` has neither a length
/// nor chunks. `connection` is written as `Connection` unless it is empty. Adds
/// `Date`.
std::string FormatResponseHead(int status,
                               const HeaderList& headers,
                               const ResponseFraming& framing,
                               std::string_view connection);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_RESPONSE_HEAD_H_
