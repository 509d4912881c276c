#ifndef KINGCUPDRIFT_CONFIG_CONFIG_ERROR_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_ERROR_H_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Kinds of fault in a configuration document.
enum class ConfigErrorKind {
  /// The document is not TOML.
  kSyntax,
  /// The key is not an option.
  kUnknownKey,
  /// The value has another type than the option.
  kWrongType,
  /// The value is outside the option's range.
  kOutOfRange,
  /// A required option is absent.
  kMissing,
  /// The value names something that is not defined.
  kUnknownReference,
  /// Two values contradict each other.
  kConflict,
  /// The document sets something that it may not set.
  kNotAllowed,
  /// The document or a table is larger than its limit.
  kTooLarge,
};

/// One fault in a configuration document, with its place.
struct ConfigError {
  ConfigErrorKind error_kind = ConfigErrorKind::kSyntax;
  /// Name of the document: "base", a site's name, or a file name.
  std::string file;
  /// Line from 1; 0 when the fault is not on one line.
  int line = 0;
  /// Dotted key, such as "services.lm-pool.priority".
  std::string key;
  /// What was found.
  std::string found;
  /// What is allowed instead.
  std::string allowed;
};

using ConfigErrors = std::vector<ConfigError>;

/// A value, or every fault that was found.
template <typename T>
using ConfigResult = tl::expected<T, ConfigErrors>;

/// "base:12: services.lm-pool.priority: found 99; allowed: -100 to 100".
std::string ToString(const ConfigError& error);
/// A kInvalidArgument error that holds all faults, one a line.
Error ToError(const ConfigErrors& errors);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_ERROR_H_
