#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_OPTION_SPEC_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_OPTION_SPEC_H_

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace kingcupdrift::internal {

/// Top-level tables of a document. Each holds tables by identifier.
enum class Section { kSites, kServices, kEngines, kWorkspaces };

inline constexpr std::array<Section, 4> kSections = {
    Section::kSites, Section::kServices, Section::kEngines,
    Section::kWorkspaces};

std::string_view SectionName(Section section);

enum class OptionType {
  kBool,
  kInteger,
  kNumber,
  kText,
  /// Text with a unit, such as "30s"; the range is in seconds.
  kDuration,
  kTextList,
};

/// Which documents may set an option.
enum class OptionScope {
  kAny,
  /// Only the base.
  kBaseOnly,
  /// An overlay may set it only where the base does not.
  kOverlayIfUnset,
};

/// One option: its type, range and default. The documentation's table and the
/// output of `config show` come from these.
struct OptionSpec {
  Section section;
  std::string_view key;
  OptionType type;
  /// Range of numbers, of durations in seconds, or of a text's length.
  double min = 0;
  double max = 0;
  std::string_view unit;
  /// In TOML; empty when there is none.
  std::string_view default_text = {};
  bool is_required = false;
  OptionScope scope = OptionScope::kAny;
  /// Further rule for a text or for each text of a list; null for none.
  bool (*is_valid)(std::string_view text) = nullptr;
  /// Names the further rule.
  std::string_view rule = {};
};

std::span<const OptionSpec> AllOptions();
/// Null when there is no such option.
const OptionSpec* FindOption(Section section, std::string_view key);
/// "0.1 to 1000", "one of ...", for messages and the documentation.
std::string DescribeAllowedValues(const OptionSpec& spec);

/// Identifiers: 1 to 64 of a-z, 0-9, '_' and '-'.
bool IsIdentifier(std::string_view text);
inline constexpr std::string_view kIdentifierRule =
    "1 to 64 characters of a-z, 0-9, '_' and '-'";

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_OPTION_SPEC_H_
