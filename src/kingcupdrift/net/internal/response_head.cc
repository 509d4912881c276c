#include "kingcupdrift/net/internal/response_head.h"

#include <fmt/format.h>
#include <time.h>

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include "kingcupdrift/api/api.h"

namespace kingcupdrift {
namespace {

namespace http = boost::beast::http;

bool IsSameName(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool HasLineBreak(std::string_view text) {
  constexpr std::string_view kForbidden("\r\n\0", 3);
  return text.find_first_of(kForbidden) != std::string_view::npos;
}

std::string FormatDate() {
  const time_t now = time(nullptr);
  tm fields{};
  gmtime_r(&now, &fields);
  std::array<char, 40> text{};
  const std::size_t size =
      strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &fields);
  return {text.data(), size};
}

void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

ResponseHeaderFacts ReadResponseHeaders(const HeaderList& headers) {
  ResponseHeaderFacts out;
  for (const auto& [name, value] : headers) {
    out.has_length |= IsSameName(name, "Content-Length");
    out.closes_connection |=
        IsSameName(name, "Connection") && IsSameName(value, "close");
  }
  return out;
}

bool IsBodyless(int status) {
  constexpr int kFirstFinalStatus = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status < kFirstFinalStatus || status == kNoContent ||
         status == kNotModified;
}

std::string GetReasonPhrase(int status) {
  const http::status known =
      status > 0 ? http::int_to_status(static_cast<unsigned>(status))
                 : http::status::unknown;
  if (known == http::status::unknown) {
    return "Unknown";
  }
  const auto phrase = http::obsolete_reason(known);
  return {phrase.data(), phrase.size()};
}

std::string FormatResponseHead(int status,
                               const HeaderList& headers,
                               const ResponseFraming& framing,
                               std::string_view connection) {
  const bool keeps_length = !framing.length && !framing.is_chunked;
  bool has_date = false;
  std::string out =
      fmt::format("HTTP/1.1 {} {}\r\n", status, GetReasonPhrase(status));
  for (const auto& [name, value] : headers) {
    if (HasLineBreak(name) || HasLineBreak(value) ||
        IsSameName(name, "Connection") ||
        IsSameName(name, "Transfer-Encoding") ||
        (IsSameName(name, "Content-Length") && !keeps_length)) {
      continue;
    }
    has_date |= IsSameName(name, "Date");
    AppendHeader(out, name, value);
  }
  if (!has_date) {
    AppendHeader(out, "Date", FormatDate());
  }
  if (framing.length) {
    AppendHeader(out, "Content-Length", std::to_string(*framing.length));
  }
  if (framing.is_chunked) {
    AppendHeader(out, "Transfer-Encoding", "chunked");
  }
  if (!connection.empty()) {
    AppendHeader(out, "Connection", connection);
  }
  out += "\r\n";
  return out;
}

}  // namespace kingcupdrift
