#include "kingcupdrift/base/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

namespace kingcupdrift {
namespace {

bool IsIpAddress(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  return inet_pton(AF_INET, host.c_str(), buf.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), buf.data()) == 1;
}

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return MakeError(ErrorCode::kInvalidArgument,
                     fmt::format("'{}' is not HOST:PORT", text));
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Endpoint endpoint{std::string(host), 0};
  const auto [end, ec] = std::from_chars(
      digits.data(), digits.data() + digits.size(), endpoint.port);
  const bool is_port = ec == std::errc() &&
                       end == digits.data() + digits.size() &&
                       endpoint.port != 0;
  if (!is_port || !IsIpAddress(endpoint.host)) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        fmt::format("'{}' is not an IP address and a port from 1 to 65535",
                    text));
  }
  return endpoint;
}

std::string ToString(const Endpoint& endpoint) {
  if (endpoint.host.find(':') != std::string::npos) {
    return fmt::format("[{}]:{}", endpoint.host, endpoint.port);
  }
  return fmt::format("{}:{}", endpoint.host, endpoint.port);
}

}  // namespace kingcupdrift
