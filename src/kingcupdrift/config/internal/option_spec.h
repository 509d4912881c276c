#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_OPTION_SPEC_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_OPTION_SPEC_H_

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace kingcupdrift::internal {

/// Top-level tables of a document. Each holds one table per identifier.
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
  /// Text with a unit, such as "30s"; `min` and `max` are in seconds.
  kDuration,
  kTextList,
};

/// Which documents may set an option.
enum class OptionScope {
  kAny,
  /// Only the base may set it.
  kBaseOnly,
  /// An overlay may set it only where the base does not.
  kOverlayIfUnset,
};

/// One option: its type, range and default. `config show` prints the defaults,
/// and a test compares the documentation's table with these.
struct OptionSpec {
  Section section;
  std::string_view key;
  OptionType type;
  /// Range of a number, of a duration in seconds, of a text's length in bytes,
  /// or of a list's number of entries.
  double min = 0;
  double max = 0;
  /// Unit or meaning as shown in the documentation, such as "duration" or
  /// "share of engines".
  std::string_view unit;
  /// Default for display, in TOML; empty when there is none. It must equal the
  /// initializer in site_config.h, which is the value that applies.
  std::string_view default_text = {};
  /// True if every table of the section needs the option. Further options are
  /// required by the kind of the service.
  bool is_required = false;
  OptionScope scope = OptionScope::kAny;
  /// Further check of a text or of each text of a list; null for none.
  bool (*is_valid)(std::string_view text) = nullptr;
  /// Wording of that check in messages. For a text, it is the whole description
  /// of the allowed values.
  std::string_view rule = {};
};

std::span<const OptionSpec> AllOptions();
/// Null when there is no such option.
const OptionSpec* FindOption(Section section, std::string_view key);
/// Describes the allowed values for messages, such as "a number from 0.1 to
/// 1000".
std::string DescribeAllowedValues(const OptionSpec& spec);

/// True for 1 to 64 characters of a-z, 0-9, '_' and '-'.
bool IsIdentifier(std::string_view text);
inline constexpr std::string_view kIdentifierRule =
    "1 to 64 characters of a-z, 0-9, '_' and '-'";

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_OPTION_SPEC_H_
