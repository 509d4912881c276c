#ifndef KINGCUPDRIFT_CONFIG_CONFIG_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_H_

/// @file
/// Public header of the operators' configuration: the documents, their merge
/// and validation, the hash chain of approved heads, and the follower that
/// applies the newest head.

#include "kingcupdrift/config/config_documents.h"  // IWYU pragma: export
#include "kingcupdrift/config/config_error.h"      // IWYU pragma: export
#include "kingcupdrift/config/config_follower.h"   // IWYU pragma: export
#include "kingcupdrift/config/config_head.h"       // IWYU pragma: export
#include "kingcupdrift/config/config_proposal.h"   // IWYU pragma: export
#include "kingcupdrift/config/config_store.h"      // IWYU pragma: export
#include "kingcupdrift/config/duration_text.h"     // IWYU pragma: export
#include "kingcupdrift/config/parse_config.h"      // IWYU pragma: export
#include "kingcupdrift/config/site_config.h"       // IWYU pragma: export

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_H_
