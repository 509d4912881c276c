#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_TOML_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_TOML_H_

/// @file
/// The TOML library, header-only and without exceptions.

#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>  // IWYU pragma: export

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_TOML_H_
