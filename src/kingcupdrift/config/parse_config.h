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

/// Names that errors and value sources use for the two documents.
struct DocumentNames {
  std::string base = "base";
  std::string overlay = "overlay";
};

/// Names that errors use for a base and its overlays. A site without a name
/// here is named by its identifier.
struct DocumentNameMap {
  std::string base = "base";
  std::map<SiteId, std::string> overlays;

  const std::string& OverlayName(const SiteId& site) const {
    const auto it = overlays.find(site);
    return it == overlays.end() ? site.value() : it->second;
  }
};

/// Merges `overlay_text` into `base_text`, checks every value and builds the
/// configuration of `site`. Its generation and digest are left empty. All
/// faults are reported, not only the first.
ConfigResult<SiteConfig> ParseSiteConfig(std::string_view base_text,
                                         std::string_view overlay_text,
                                         const SiteId& site,
                                         const DocumentNames& names = {});

/// One value in force and the place that set it.
struct ConfigValueSource {
  std::string key;
  /// As written in TOML.
  std::string value;
  /// Document name, or "default".
  std::string file;
  int line = 0;
};

/// The merged options of `site` in order of their keys, defaults included.
ConfigResult<std::vector<ConfigValueSource>> ExplainSiteConfig(
    std::string_view base_text,
    std::string_view overlay_text,
    const SiteId& site,
    const DocumentNames& names = {});

/// Checks all sites and what must hold between them: every overlay belongs to a
/// site that the base lists, and no two overlays set the same token. Returns
/// every fault; empty means that the documents may be approved.
ConfigErrors ValidateDocuments(const ConfigDocuments& documents,
                               const DocumentNameMap& names = {});

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_PARSE_CONFIG_H_
