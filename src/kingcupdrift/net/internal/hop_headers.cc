#include "kingcupdrift/net/internal/hop_headers.h"

#include <event2/util.h>

#include <algorithm>
#include <array>
#include <string>

namespace kingcupdrift {
namespace {

constexpr std::array<std::string_view, 11> kHopHeaders = {
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
    "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade",
    "Host",       "Expect",     "Content-Length"};

constexpr std::array<std::string_view, 6> kDroppedCallerHeaders = {
    "Authorization",   "X-Request-Id",    "X-Attempt-Id",
    "Idempotency-Key", "Request-Timeout", "X-Time-Left-Ms"};

template <typename Names>
bool Contains(const Names& names, std::string_view name) {
  const std::string text(name);
  return std::any_of(names.begin(), names.end(), [&](std::string_view it) {
    return evutil_ascii_strcasecmp(text.c_str(), std::string(it).c_str()) == 0;
  });
}

}  // namespace

bool IsHopHeader(std::string_view name) {
  return Contains(kHopHeaders, name);
}

bool IsDroppedCallerHeader(std::string_view name) {
  return Contains(kDroppedCallerHeaders, name);
}

}  // namespace kingcupdrift
