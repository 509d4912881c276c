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
  /// The value as written, without white space round it. Points into the
  /// object's text.
  std::string_view raw;
};

/// Top-level members of the object that `text` holds. If the string's capacity
/// leaves enough room behind its end, it is parsed in place, else copied.
/// kInvalidArgument if `text` is not one JSON object in UTF-8, or has more than
/// kMaxJsonMembers members.
Result<std::vector<JsonMember>> ListJsonMembers(const std::string& text);

inline constexpr std::size_t kMaxJsonMembers = 256;

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_INTERNAL_JSON_MEMBERS_H_
