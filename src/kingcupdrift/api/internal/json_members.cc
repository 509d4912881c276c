#include "kingcupdrift/api/internal/json_members.h"

#include <simdjson.h>

#include <utility>

namespace kingcupdrift {
namespace {

namespace ondemand = simdjson::ondemand;

constexpr std::string_view kWhiteSpace = " \t\r\n";

std::string_view TrimEnd(std::string_view text) {
  const std::size_t last = text.find_last_not_of(kWhiteSpace);
  return last == std::string_view::npos ? std::string_view()
                                        : text.substr(0, last + 1);
}

tl::unexpected<Error> MalformedJson(simdjson::error_code ec) {
  return MakeError(
      ErrorCode::kInvalidArgument,
      std::string("the body is not a JSON object or has too many members: ") +
          error_message(ec));
}

JsonKind ToKind(ondemand::json_type type) {
  switch (type) {
    case ondemand::json_type::array:
      return JsonKind::kArray;
    case ondemand::json_type::object:
      return JsonKind::kObject;
    case ondemand::json_type::number:
      return JsonKind::kNumber;
    case ondemand::json_type::string:
      return JsonKind::kString;
    case ondemand::json_type::boolean:
      return JsonKind::kBoolean;
    case ondemand::json_type::null:
      break;
  }
  return JsonKind::kNull;
}

simdjson::error_code ReadRaw(ondemand::value& value, JsonMember& out) {
  ondemand::json_type type{};
  if (const auto ec = value.type().get(type); ec != simdjson::SUCCESS) {
    return ec;
  }
  out.kind = ToKind(type);
  if (type == ondemand::json_type::array) {
    ondemand::array array;
    const auto ec = value.get_array().get(array);
    return ec == simdjson::SUCCESS ? array.raw_json().get(out.raw) : ec;
  }
  if (type == ondemand::json_type::object) {
    ondemand::object object;
    const auto ec = value.get_object().get(object);
    return ec == simdjson::SUCCESS ? object.raw_json().get(out.raw) : ec;
  }
  out.raw = TrimEnd(value.raw_json_token());
  return simdjson::SUCCESS;
}

simdjson::error_code ReadMember(
    simdjson::simdjson_result<ondemand::field> field,
    JsonMember& out) {
  std::string_view key;
  if (const auto ec = field.unescaped_key().get(key); ec != simdjson::SUCCESS) {
    return ec;
  }
  out.key = key;
  ondemand::value value;
  if (const auto ec = field.value().get(value); ec != simdjson::SUCCESS) {
    return ec;
  }
  return ReadRaw(value, out);
}

simdjson::error_code ReadMembers(ondemand::document& document,
                                 std::vector<JsonMember>& out) {
  ondemand::object object;
  if (const auto ec = document.get_object().get(object);
      ec != simdjson::SUCCESS) {
    return ec;
  }
  for (auto field : object) {
    JsonMember member;
    if (const auto ec = ReadMember(field, member); ec != simdjson::SUCCESS) {
      return ec;
    }
    out.push_back(std::move(member));
    if (out.size() > kMaxJsonMembers) {
      return simdjson::CAPACITY;
    }
  }
  const bool is_at_end =
      document.current_location().error() == simdjson::OUT_OF_BOUNDS;
  return is_at_end ? simdjson::SUCCESS : simdjson::TRAILING_CONTENT;
}

bool IsScalarWellFormed(const JsonMember& member) {
  switch (member.kind) {
    case JsonKind::kBoolean:
      return member.raw == "true" || member.raw == "false";
    case JsonKind::kNull:
      return member.raw == "null";
    case JsonKind::kString:
      return member.raw.size() >= 2 && member.raw.back() == '"';
    default:
      return true;
  }
}

}  // namespace

Result<std::vector<JsonMember>> ListJsonMembers(const std::string& text) {
  ondemand::parser parser;
  ondemand::document document;
  simdjson::padded_string copy;
  simdjson::padded_string_view view(text.data(), text.size(), text.capacity());
  if (text.capacity() < text.size() + simdjson::SIMDJSON_PADDING) {
    copy = simdjson::padded_string(text);
    view = copy;
  }
  if (const auto ec = parser.iterate(view).get(document);
      ec != simdjson::SUCCESS) {
    return MalformedJson(ec);
  }
  std::vector<JsonMember> members;
  if (const auto ec = ReadMembers(document, members); ec != simdjson::SUCCESS) {
    return MalformedJson(ec);
  }
  for (JsonMember& it : members) {
    if (!IsScalarWellFormed(it)) {
      return MalformedJson(simdjson::TAPE_ERROR);
    }
    // If the text was copied, offsets in the copy equal those in `text`.
    const auto offset = static_cast<std::size_t>(it.raw.data() - view.data());
    it.raw = std::string_view(text).substr(offset, it.raw.size());
  }
  return members;
}

}  // namespace kingcupdrift
