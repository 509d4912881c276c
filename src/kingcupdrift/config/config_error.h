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
  /// The value is not allowed: it is out of range, breaks the option's rule,
  /// repeats a list entry, is a malformed identifier, or is a `format` that is
  /// unknown or not an integer.
  kOutOfRange,
  /// A required option is absent, or the base defines no site.
  kMissing,
  /// The value names something that is not defined.
  kUnknownReference,
  /// Two values contradict each other: limits in the wrong order, a route
  /// outside its service's path prefix, or two tables with the same value where
  /// each needs its own.
  kConflict,
  /// This document or this kind of service may not set the option or table, or
  /// an overlay sets a token that another workspace of the base, or another
  /// overlay, already has.
  kNotAllowed,
  /// More bytes, tables or sites than allowed.
  kTooLarge,
};

/// One fault in a configuration document, with its location.
struct ConfigError {
  ConfigErrorKind error_kind = ConfigErrorKind::kSyntax;
  /// Name of the document: "base", "overlay", a site's identifier or a file
  /// name, as given by DocumentNames or DocumentNameMap.
  std::string file;
  /// Line, counted from 1; 0 when the fault is not on one line.
  int line = 0;
  /// Dotted key, such as "services.lm-pool.priority", or a part of one, such as
  /// "sites"; empty when the fault concerns the whole document.
  std::string key;
  /// The value or condition that was found.
  std::string found;
  /// The values that are allowed instead.
  std::string allowed;
};

using ConfigErrors = std::vector<ConfigError>;

/// A value, or every fault that was found.
template <typename T>
using ConfigResult = tl::expected<T, ConfigErrors>;

/// One line, such as "base:12: services.lm-pool.priority: 101; allowed: a whole
/// number from -100 to 100".
std::string ToString(const ConfigError& error);
/// A kInvalidArgument error whose detail has one line for each fault.
Error ToError(const ConfigErrors& errors);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_ERROR_H_
