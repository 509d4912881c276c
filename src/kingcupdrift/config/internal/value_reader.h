#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_VALUE_READER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_VALUE_READER_H_

#include <optional>
#include <string>

#include "kingcupdrift/config/internal/document.h"
#include "kingcupdrift/config/internal/toml.h"

namespace kingcupdrift::internal {

/// A checked value, or the fault that was found.
struct CheckedValue {
  decltype(OptionValue::value) value;
  std::optional<ConfigErrorKind> error_kind;
};

/// Checks type and range of one value.
CheckedValue CheckValue(const OptionSpec& spec, const toml::node& node);

/// Line from 1, or 0 when unknown.
int LineOf(const toml::node& node);
int LineOf(const toml::key& key);
/// The value in TOML on one line, cut when long.
std::string FormatToml(const toml::node& node);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_VALUE_READER_H_
