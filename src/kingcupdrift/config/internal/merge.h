#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_MERGE_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_MERGE_H_

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_error.h"
#include "kingcupdrift/config/internal/document.h"

namespace kingcupdrift::internal {

/// True if the table's `sites` option contains `site` or is not set.
bool IsForSite(const ConfigTable& table, const SiteId& site);

/// Replaces options of the base by those of the overlay, option by option.
/// Reports and skips options and tables that an overlay may not set.
Document MergeOverlay(Document base,
                      const Document& overlay,
                      const SiteId& site,
                      ConfigErrors& errors);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_MERGE_H_
