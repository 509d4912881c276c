#ifndef KINGCUPDRIFT_API_JSON_FIELDS_H_
#define KINGCUPDRIFT_API_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Parses without exceptions; a discarded value on failure.
nlohmann::json ParseJson(std::string_view text);
/// Serializes; invalid UTF-8 becomes replacement marks.
std::string ToJson(const nlohmann::json& value);

/// A member's text; empty if it is absent or of another type.
std::string GetStringField(const nlohmann::json& object, const char* key);
/// A member's number, written as a number or as decimal text; 0 otherwise.
std::int64_t GetIntegerField(const nlohmann::json& object, const char* key);
std::uint64_t GetUnsignedField(const nlohmann::json& object, const char* key);
double GetDoubleField(const nlohmann::json& object, const char* key);
bool GetBoolField(const nlohmann::json& object, const char* key);
/// A member that is a list; an empty list otherwise.
const nlohmann::json& GetArrayField(const nlohmann::json& object,
                                    const char* key);
/// A member that is an object; an empty object otherwise.
const nlohmann::json& GetObjectField(const nlohmann::json& object,
                                     const char* key);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_JSON_FIELDS_H_
