#include "kingcupdrift/net/internal/response_check.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <optional>

namespace kingcupdrift {
namespace {

bool IsSameName(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// HTTP/1.x, a blank and three digits from 100 to 599 (RFC 9112, 4).
bool IsValidStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusStart = kVersion.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusStart + 3;
  if (text.size() <= kStatusEnd || !text.starts_with(kVersion) ||
      !IsDigit(text[kVersion.size()]) || text[kStatusStart - 1] != ' ') {
    return false;
  }
  const char first = text[kStatusStart];
  const char after = text[kStatusEnd];
  return first >= '1' && first <= '5' && IsDigit(text[kStatusStart + 1]) &&
         IsDigit(text[kStatusStart + 2]) &&
         (after == ' ' || after == '\r' || after == '\n');
}

// RFC 9110, 5.6.2.
bool IsToken(std::string_view text) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kSymbols.find(c) != std::string_view::npos;
  });
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsDigit);
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t start = text.find_first_not_of(kBlanks);
  if (start == std::string_view::npos) {
    return {};
  }
  return text.substr(start, text.find_last_not_of(kBlanks) - start + 1);
}

}  // namespace

const char* FindHeadFault(std::string_view status_line,
                          const HeaderList& headers) {
  if (!IsValidStatusLine(status_line)) {
    return "the status is not a number from 100 to 599";
  }
  std::optional<std::string_view> length;
  bool has_encoding = false;
  for (const auto& [name, value] : headers) {
    if (!IsToken(name)) {
      return "the name of a header is not a token";
    }
    const std::string_view text = Trim(value);
    if (IsSameName(name, "Content-Length")) {
      if (!IsNumber(text)) {
        return "the length is not a number";
      }
      if (length && *length != text) {
        return "there are different lengths";
      }
      length = text;
    } else if (IsSameName(name, "Transfer-Encoding")) {
      if (has_encoding || !IsSameName(text, "chunked")) {
        return "the transfer encoding is not supported";
      }
      has_encoding = true;
    }
  }
  if (length && has_encoding) {
    return "there are a length and a transfer encoding";
  }
  return nullptr;
}

}  // namespace kingcupdrift
