#include <event2/http.h>

#include <cstring>
#include <memory>
#include <optional>
#include <utility>

#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/http_server.h"

namespace kingcupdrift {

std::string_view HttpResponse::GetHeader(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string_view HttpExchange::GetHeader(std::string_view name) const {
  return FindHeader(headers(), name);
}

std::string_view HttpExchange::GetPath() const {
  const std::string_view whole = target();
  return whole.substr(0, whole.find('?'));
}

std::optional<std::string> HttpExchange::GetQueryParameter(
    std::string_view name) const {
  std::string_view rest = target();
  const std::size_t start = rest.find('?');
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  rest.remove_prefix(start + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) {
      continue;
    }
    const std::string encoded(pair.substr(equals + 1));
    std::size_t size = 0;
    char* const decoded = evhttp_uridecode(encoded.c_str(), 1, &size);
    std::string value(decoded, size);
    std::free(decoded);
    return value;
  }
  return std::nullopt;
}

void HttpExchange::RespondText(int status,
                               std::string_view content_type,
                               std::string text) {
  Respond(status, {{"Content-Type", std::string(content_type)}},
          std::make_shared<const std::string>(std::move(text)));
}

}  // namespace kingcupdrift
