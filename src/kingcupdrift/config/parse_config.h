#ifndef KINGCUPDRIFT_CONFIG_PARSE_CONFIG_H_
#define KINGCUPDRIFT_CONFIG_PARSE_CONFIG_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_documents.h"
#include "kingcupdrift/config/config_error.h"
#include "kingcupdrift/config/site_config.h"

namespace kingcupdrift {

/// Names of the two documents in errors and value sources. An error about a
/// site that the base does not define always has the file "base", even if
/// `base` is another name here.
struct DocumentNames {
  std::string base = "base";
  std::string overlay = "overlay";
};

/// Names of the base and the overlays in errors. An overlay without a name here
/// is named by its site's identifier.
struct DocumentNameMap {
  std::string base = "base";
  std::map<SiteId, std::string> overlays;

  const std::string& OverlayName(const SiteId& site) const {
    const auto it = overlays.find(site);
    return it == overlays.end() ? site.value() : it->second;
  }
};

/// Merges `overlay_text` into `base_text`, checks every value and builds the
/// configuration of `site`, with generation 0 and an empty digest. Reports all
/// faults, not only the first.
ConfigResult<SiteConfig> ParseSiteConfig(std::string_view base_text,
                                         std::string_view overlay_text,
                                         const SiteId& site,
                                         const DocumentNames& names = {});

/// The effective value of one option and the document line that set it.
struct ConfigValueSource {
  /// Dotted key, such as "services.lm-pool.priority".
  std::string key;
  /// For display: TOML, reformatted on one line and cut when long.
  std::string value;
  /// Name of the document, or "default".
  std::string file;
  /// Line, counted from 1; 0 for defaults.
  int line = 0;
};

/// Lists the merged options of `site`, defaults included, by section (sites,
/// services, engines, workspaces), then by table identifier, then in the order
/// of the option table. Includes the site's services and workspaces, enabled or
/// not, all disabled engines, and enabled engines whose service is enabled at
/// the site. Leaves out other enabled engines, and options that have neither a
/// value nor a default.
ConfigResult<std::vector<ConfigValueSource>> ExplainSiteConfig(
    std::string_view base_text,
    std::string_view overlay_text,
    const SiteId& site,
    const DocumentNames& names = {});

/// Checks the total size, the number of sites (at least one, at most
/// `kMaxSites`), the merged configuration of each site and the rules between
/// sites: every overlay belongs to a site that the base defines, and no two
/// overlays set the same token. Returns all faults; but if the base has syntax
/// errors, unknown keys or values that are not allowed by themselves, only
/// those. A fault of a base table can be returned once per site. An empty
/// result means that the documents may be approved.
ConfigErrors ValidateDocuments(const ConfigDocuments& documents,
                               const DocumentNameMap& names = {});

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_PARSE_CONFIG_H_
