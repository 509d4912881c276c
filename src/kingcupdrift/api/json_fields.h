#ifndef KINGCUPDRIFT_API_JSON_FIELDS_H_
#define KINGCUPDRIFT_API_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Parses without exceptions; returns a discarded value on failure.
nlohmann::json ParseJson(std::string_view text);
/// Serializes without white space, as `ToJsonText`; replaces invalid UTF-8 by
/// U+FFFD.
std::string ToJson(const nlohmann::json& value);

/// A member's string; empty if it is absent or of another type.
std::string GetStringField(const nlohmann::json& object, const char* key);
/// A member's value if it is a number, else the leading number of its string
/// ("12abc" gives 12), else 0. The integer functions cut off the fraction of a
/// JSON number.
std::int64_t GetIntegerField(const nlohmann::json& object, const char* key);
/// As above. A negative JSON number wraps around to a large value.
std::uint64_t GetUnsignedField(const nlohmann::json& object, const char* key);
/// As `GetIntegerField`, with the fraction.
double GetDoubleField(const nlohmann::json& object, const char* key);
/// True only if the member is JSON true.
bool GetBoolField(const nlohmann::json& object, const char* key);
/// A member that is an array; an empty array if it is absent or of another
/// type. References are valid while `object` is.
const nlohmann::json& GetArrayField(const nlohmann::json& object,
                                    const char* key);
/// The same for a member that is an object.
const nlohmann::json& GetObjectField(const nlohmann::json& object,
                                     const char* key);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_JSON_FIELDS_H_
