#ifndef KINGCUPDRIFT_API_INTERNAL_JSON_MEMBERS_H_
#define KINGCUPDRIFT_API_INTERNAL_JSON_MEMBERS_H_

#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

enum class JsonKind { kString, kNumber, kBoolean, kNull, kArray, kObject };

/// One top-level member of a JSON object.
struct JsonMember {
  std::string key;
  JsonKind kind = JsonKind::kNull;
  /// The value as written, without surrounding white space. Points into the
  /// text that was parsed.
  std::string_view raw;
};

/// Lists the top-level members of the JSON object in `text`. Nested values and
/// the digits of numbers are not validated. Parses in place if the capacity of
/// `text` exceeds its size by at least simdjson's padding, else copies it.
/// Errors: kInvalidArgument if `text` is not one JSON object in UTF-8, or has
/// more than kMaxJsonMembers members.
Result<std::vector<JsonMember>> ListJsonMembers(const std::string& text);

inline constexpr std::size_t kMaxJsonMembers = 256;

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_INTERNAL_JSON_MEMBERS_H_
