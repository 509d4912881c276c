#ifndef KINGCUPDRIFT_API_INTERNAL_JSON_TEXT_H_
#define KINGCUPDRIFT_API_INTERNAL_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace kingcupdrift {

/// Serializes without white space; replaces invalid UTF-8 by U+FFFD.
inline std::string ToJsonText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Returns `text` as a JSON string, quotes included.
inline std::string QuoteJson(std::string_view text) {
  return ToJsonText(nlohmann::json(text));
}

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_INTERNAL_JSON_TEXT_H_
