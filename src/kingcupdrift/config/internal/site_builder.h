#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_SITE_BUILDER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_SITE_BUILDER_H_

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_error.h"
#include "kingcupdrift/config/internal/document.h"
#include "kingcupdrift/config/site_config.h"

namespace kingcupdrift::internal {

/// Builds the configuration of `site` from merged tables. Appends faults
/// between options to `errors`: missing options, unknown references, repeated
/// names and contradicting values.
SiteConfig BuildSiteConfig(const Document& merged,
                           const SiteId& site,
                           ConfigErrors& errors);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_SITE_BUILDER_H_
