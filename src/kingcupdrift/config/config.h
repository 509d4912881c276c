#ifndef KINGCUPDRIFT_CONFIG_CONFIG_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_H_

/// @file
/// Public header of the operators' configuration.

#include "kingcupdrift/config/site_config.h"  // IWYU pragma: export

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_H_
