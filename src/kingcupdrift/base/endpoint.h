#ifndef KINGCUPDRIFT_BASE_ENDPOINT_H_
#define KINGCUPDRIFT_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "kingcupdrift/base/error.h"

namespace kingcupdrift {

/// An IP address and port. IPv6 hosts are stored without brackets.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Parses "HOST:PORT" or "[HOST]:PORT". HOST must be an IP address, not a name;
/// PORT must not be 0. Errors: kInvalidArgument.
Result<Endpoint> ParseEndpoint(std::string_view text);
std::string ToString(const Endpoint& endpoint);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_ENDPOINT_H_
