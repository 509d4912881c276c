#include "kingcupdrift/config/internal/item_reader.h"

#include <utility>

namespace kingcupdrift::internal {

std::string ItemReader::Describe(std::string_view option) const {
  const SourcePlace& place = table_.PlaceOf(option);
  return fmt::format("{} at {}:{}", DottedKey(section_, id_, option),
                     place.file, place.line);
}

void ItemReader::RequireAll() {
  for (const OptionSpec& it : AllOptions()) {
    if (it.section == section_ && it.is_required) {
      Require(it.key);
    }
  }
}

void ItemReader::Require(std::string_view option) {
  if (!table_.options.contains(option)) {
    const OptionSpec* spec = FindOption(section_, option);
    AddFault(ConfigFault::kMissing, option, "nothing", AllowedText(*spec));
  }
}

void ItemReader::Forbid(std::string_view option, std::string allowed) {
  const auto it = table_.options.find(option);
  if (it != table_.options.end()) {
    AddFault(ConfigFault::kNotAllowed, option, it->second.text,
             std::move(allowed));
  }
}

void ItemReader::AddFault(ConfigFault fault,
                          std::string_view option,
                          std::string found,
                          std::string allowed) {
  const SourcePlace& place = table_.PlaceOf(option);
  errors_.push_back({fault, place.file, place.line,
                     DottedKey(section_, id_, option), std::move(found),
                     std::move(allowed)});
}

}  // namespace kingcupdrift::internal
