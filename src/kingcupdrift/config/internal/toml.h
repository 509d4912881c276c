#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_TOML_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_TOML_H_

/// @file
/// Includes the TOML library, header-only and with exceptions disabled.

#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>  // IWYU pragma: export

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_TOML_H_
