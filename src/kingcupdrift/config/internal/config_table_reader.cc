#include "kingcupdrift/config/internal/config_table_reader.h"

#include <utility>

namespace kingcupdrift::internal {

std::string ConfigTableReader::Describe(std::string_view option) const {
  const SourceLocation& location = table_.FindLocation(option);
  return fmt::format("{} at {}:{}", DottedKey(section_, id_, option),
                     location.file, location.line);
}

void ConfigTableReader::RequireAll() {
  for (const OptionSpec& it : AllOptions()) {
    if (it.section == section_ && it.is_required) {
      Require(it.key);
    }
  }
}

void ConfigTableReader::Require(std::string_view option) {
  if (!table_.options.contains(option)) {
    const OptionSpec* spec = FindOption(section_, option);
    AddError(ConfigErrorKind::kMissing, option, "no value",
             DescribeAllowedValues(*spec));
  }
}

void ConfigTableReader::Forbid(std::string_view option, std::string allowed) {
  const auto it = table_.options.find(option);
  if (it != table_.options.end()) {
    AddError(ConfigErrorKind::kNotAllowed, option, it->second.text,
             std::move(allowed));
  }
}

void ConfigTableReader::AddError(ConfigErrorKind error_kind,
                                 std::string_view option,
                                 std::string found,
                                 std::string allowed) {
  const SourceLocation& location = table_.FindLocation(option);
  errors_.push_back({error_kind, location.file, location.line,
                     DottedKey(section_, id_, option), std::move(found),
                     std::move(allowed)});
}

}  // namespace kingcupdrift::internal
