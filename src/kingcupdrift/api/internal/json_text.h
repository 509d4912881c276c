#ifndef KINGCUPDRIFT_API_INTERNAL_JSON_TEXT_H_
#define KINGCUPDRIFT_API_INTERNAL_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace kingcupdrift {

/// Serializes without white space; invalid UTF-8 becomes replacement marks.
inline std::string ToJsonText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// `text` as a JSON string with its quotes.
inline std::string QuoteJson(std::string_view text) {
  return ToJsonText(nlohmann::json(text));
}

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_INTERNAL_JSON_TEXT_H_
