#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_VALUE_READER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_VALUE_READER_H_

#include <optional>
#include <string>

#include "kingcupdrift/config/internal/document.h"
#include "kingcupdrift/config/internal/toml.h"

namespace kingcupdrift::internal {

/// A checked value, or the kind of fault; `value` is unspecified with a fault.
struct CheckedValue {
  decltype(OptionValue::value) value;
  std::optional<ConfigErrorKind> error_kind;
};

/// Checks the type, range and rule of one value.
CheckedValue CheckValue(const OptionSpec& spec, const toml::node& node);

/// Line, counted from 1; 0 when unknown.
int LineOf(const toml::node& node);
int LineOf(const toml::key& key);
/// Formats the value for messages: TOML on one line, cut after 200 bytes with
/// "..." appended; a table as "a table".
std::string FormatToml(const toml::node& node);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_VALUE_READER_H_
