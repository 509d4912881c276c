#include "kingcupdrift/api/json_fields.h"

#include <charconv>

namespace kingcupdrift {
namespace {

using nlohmann::json;

const json* FindField(const json& object, const char* key) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto it = object.find(key);
  return it == object.end() ? nullptr : &*it;
}

template <typename Number>
Number ReadNumber(const json& object, const char* key) {
  const json* const field = FindField(object, key);
  if (field == nullptr) {
    return 0;
  }
  if (field->is_number()) {
    return field->get<Number>();
  }
  Number number = 0;
  if (field->is_string()) {
    const auto& text = field->get_ref<const std::string&>();
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

}  // namespace

json ParseJson(std::string_view text) {
  return json::parse(text, nullptr, false);
}

std::string ToJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string GetStringField(const json& object, const char* key) {
  const json* const field = FindField(object, key);
  return field != nullptr && field->is_string() ? field->get<std::string>()
                                                : std::string();
}

std::int64_t GetIntegerField(const json& object, const char* key) {
  return ReadNumber<std::int64_t>(object, key);
}

std::uint64_t GetUnsignedField(const json& object, const char* key) {
  return ReadNumber<std::uint64_t>(object, key);
}

double GetDoubleField(const json& object, const char* key) {
  return ReadNumber<double>(object, key);
}

bool GetBoolField(const json& object, const char* key) {
  const json* const field = FindField(object, key);
  return field != nullptr && field->is_boolean() && field->get<bool>();
}

const json& GetArrayField(const json& object, const char* key) {
  static const json empty = json::array();
  const json* const field = FindField(object, key);
  return field != nullptr && field->is_array() ? *field : empty;
}

const json& GetObjectField(const json& object, const char* key) {
  static const json empty = json::object();
  const json* const field = FindField(object, key);
  return field != nullptr && field->is_object() ? *field : empty;
}

}  // namespace kingcupdrift
