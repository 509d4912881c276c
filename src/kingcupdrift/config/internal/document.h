#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_DOCUMENT_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_DOCUMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_error.h"
#include "kingcupdrift/config/internal/option_spec.h"

namespace kingcupdrift::internal {

/// A line of a document.
struct SourceLocation {
  /// Name of the document.
  std::string file;
  /// Counted from 1; 0 when unknown.
  int line = 0;
};

/// A value that passed the checks of its option.
struct OptionValue {
  std::variant<bool,
               std::int64_t,
               double,
               std::string,
               Duration,
               std::vector<std::string>>
      value;
  /// For display: TOML on one line, cut when long.
  std::string text;
  SourceLocation location;
};

/// One table such as [services.lm-pool].
struct ConfigTable {
  SourceLocation location;
  std::map<std::string, OptionValue, std::less<>> options;

  /// Null when the option is not set or has another type.
  template <typename T>
  const T* Find(std::string_view key) const {
    const auto it = options.find(key);
    return it == options.end() ? nullptr : std::get_if<T>(&it->second.value);
  }
  /// Location of an option, or of the table when the option is not set.
  const SourceLocation& FindLocation(std::string_view key) const;
  /// False only if the table sets `enabled = false`.
  bool IsEnabled() const;
};

using ConfigTables = std::map<std::string, ConfigTable, std::less<>>;

/// The checked tables of one document or of a merged base and overlay.
struct Document {
  std::array<ConfigTables, kSections.size()> sections;

  ConfigTables& TablesIn(Section section) {
    return sections[static_cast<std::size_t>(section)];
  }
  const ConfigTables& TablesIn(Section section) const {
    return sections[static_cast<std::size_t>(section)];
  }
};

/// Largest number of tables in one section.
inline constexpr std::size_t kMaxItems = 10'000;

/// Joins the parts, such as "services.lm-pool.priority". An empty `option`
/// gives the key of the table.
std::string DottedKey(Section section,
                      std::string_view id,
                      std::string_view option);

/// Parses `text`, checks each value on its own, and appends faults to `errors`.
/// The result omits values with faults.
Document ParseDocument(std::string_view text,
                       const std::string& name,
                       ConfigErrors& errors);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_DOCUMENT_H_
