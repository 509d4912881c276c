#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_CONFIG_TABLE_READER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_CONFIG_TABLE_READER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_error.h"
#include "kingcupdrift/config/internal/document.h"

namespace kingcupdrift::internal {

/// Copies the options of one table into fields and reports options that are
/// missing, not allowed or in conflict.
class ConfigTableReader {
 public:
  ConfigTableReader(Section section,
                    const std::string& id,
                    const ConfigTable& table,
                    ConfigErrors& errors)
      : section_(section), id_(id), table_(table), errors_(errors) {}

  /// Copies the option into `field`; keeps `field` when the option is not set.
  template <typename T>
  void Assign(std::string_view option, T& field) const {
    if constexpr (std::is_same_v<T, TokenCount>) {
      if (const auto* value = table_.Find<std::int64_t>(option)) {
        field = TokenCount(*value);
      }
    } else if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>) {
      if (const auto* value = table_.Find<std::int64_t>(option)) {
        field = static_cast<T>(*value);
      }
    } else if (const auto* value = table_.Find<T>(option)) {
      field = *value;
    }
  }

  const ConfigTable& table() const { return table_; }
  /// The option's dotted key, document and line, for messages.
  std::string Describe(std::string_view option) const;

  /// Reports every option of the section that is required and not set.
  void RequireAll();
  /// Reports the option when it is not set.
  void Require(std::string_view option);
  /// Reports the option when it is set. `allowed` becomes the error's
  /// `allowed`.
  void Forbid(std::string_view option, std::string allowed);
  void AddError(ConfigErrorKind error_kind,
                std::string_view option,
                std::string found,
                std::string allowed);

 private:
  Section section_;
  const std::string& id_;
  const ConfigTable& table_;
  ConfigErrors& errors_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_CONFIG_TABLE_READER_H_
