#include "kingcupdrift/config/parse_config.h"

#include <map>
#include <utility>

#include "kingcupdrift/config/internal/document.h"
#include "kingcupdrift/config/internal/merge.h"
#include "kingcupdrift/config/internal/site_builder.h"

namespace kingcupdrift {
namespace {

using internal::ConfigTable;
using internal::Document;
using internal::DottedKey;
using internal::OptionSpec;
using internal::Section;

Document ParseAndMerge(std::string_view base_text,
                       std::string_view overlay_text,
                       const SiteId& site,
                       const DocumentNames& names,
                       ConfigErrors& errors) {
  Document base = internal::ParseDocument(base_text, names.base, errors);
  const Document overlay =
      internal::ParseDocument(overlay_text, names.overlay, errors);
  return internal::MergeOverlay(std::move(base), overlay, site, errors);
}

ConfigValueSource SourceOf(Section section,
                           const std::string& id,
                           const ConfigTable& table,
                           const OptionSpec& spec) {
  ConfigValueSource out;
  out.key = DottedKey(section, id, spec.key);
  const auto it = table.options.find(spec.key);
  if (it == table.options.end()) {
    out.value = std::string(spec.default_text);
    out.file = "default";
    return out;
  }
  out.value = it->second.text;
  out.file = it->second.location.file;
  out.line = it->second.location.line;
  return out;
}

void ExplainTable(Section section,
                  const std::string& id,
                  const ConfigTable& table,
                  std::vector<ConfigValueSource>& out) {
  for (const OptionSpec& it : internal::AllOptions()) {
    const bool is_shown =
        table.options.contains(it.key) || !it.default_text.empty();
    if (it.section == section && is_shown) {
      out.push_back(SourceOf(section, id, table, it));
    }
  }
}

bool IsShown(Section section,
             const std::string& id,
             const ConfigTable& table,
             const SiteConfig& config) {
  switch (section) {
    case Section::kSites:
      return id == config.site.value();
    case Section::kEngines:
      return config.engines.contains(EngineId(id)) || !table.IsEnabled();
    case Section::kServices:
    case Section::kWorkspaces:
      return internal::IsForSite(table, config.site);
  }
  return false;
}

/// Reports each overlay that sets a token which an earlier overlay, in the
/// order of the sites' identifiers, has set.
void CheckTokensBetweenOverlays(const std::map<SiteId, Document>& overlays,
                                ConfigErrors& errors) {
  std::map<std::string, std::string> owners;
  for (const auto& [site, overlay] : overlays) {
    for (const auto& [id, table] : overlay.TablesIn(Section::kWorkspaces)) {
      const auto* digest = table.Find<std::string>("token_digest");
      if (digest == nullptr) {
        continue;
      }
      const auto [it, is_new] = owners.emplace(*digest, site.value());
      if (!is_new && it->second != site.value()) {
        const internal::SourceLocation& location =
            table.FindLocation("token_digest");
        errors.push_back(
            {ConfigErrorKind::kNotAllowed, location.file, location.line,
             DottedKey(Section::kWorkspaces, id, "token_digest"),
             fmt::format("a token that the overlay of site {} sets",
                         it->second),
             "a token that no other overlay sets"});
      }
    }
  }
}

}  // namespace

ConfigResult<SiteConfig> ParseSiteConfig(std::string_view base_text,
                                         std::string_view overlay_text,
                                         const SiteId& site,
                                         const DocumentNames& names) {
  ConfigErrors errors;
  const Document merged =
      ParseAndMerge(base_text, overlay_text, site, names, errors);
  SiteConfig config = internal::BuildSiteConfig(merged, site, errors);
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return config;
}

ConfigResult<std::vector<ConfigValueSource>> ExplainSiteConfig(
    std::string_view base_text,
    std::string_view overlay_text,
    const SiteId& site,
    const DocumentNames& names) {
  ConfigErrors errors;
  const Document merged =
      ParseAndMerge(base_text, overlay_text, site, names, errors);
  const SiteConfig config = internal::BuildSiteConfig(merged, site, errors);
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  std::vector<ConfigValueSource> out;
  for (const Section section : internal::kSections) {
    for (const auto& [id, table] : merged.TablesIn(section)) {
      if (IsShown(section, id, table, config)) {
        ExplainTable(section, id, table, out);
      }
    }
  }
  return out;
}

ConfigErrors ValidateDocuments(const ConfigDocuments& documents,
                               const DocumentNameMap& names) {
  ConfigErrors errors;
  const Document base =
      internal::ParseDocument(documents.base, names.base, errors);
  if (!errors.empty()) {
    return errors;
  }
  if (TotalBytes(documents) > kMaxTotalBytes) {
    errors.push_back({ConfigErrorKind::kTooLarge, names.base, 0, "",
                      fmt::format("{} bytes in all documents together",
                                  TotalBytes(documents)),
                      fmt::format("at most {} bytes", kMaxTotalBytes)});
  }
  if (base.TablesIn(Section::kSites).empty()) {
    errors.push_back({ConfigErrorKind::kMissing, names.base, 0, "sites",
                      "no site", "at least one table such as [sites.NAME]"});
  }
  if (base.TablesIn(Section::kSites).size() > kMaxSites) {
    errors.push_back(
        {ConfigErrorKind::kTooLarge, names.base, 0, "sites",
         fmt::format("{} sites", base.TablesIn(Section::kSites).size()),
         fmt::format("at most {} sites", kMaxSites)});
  }
  std::map<SiteId, Document> overlays;
  for (const auto& [site, text] : documents.overlays) {
    overlays[site] =
        internal::ParseDocument(text, names.OverlayName(site), errors);
    if (!base.TablesIn(Section::kSites).contains(site.value())) {
      errors.push_back({ConfigErrorKind::kUnknownReference,
                        names.OverlayName(site), 0, "",
                        "an overlay of an undefined site",
                        "overlays of sites that the base defines"});
    }
  }
  for (const auto& [id, table] : base.TablesIn(Section::kSites)) {
    const SiteId site(id);
    const Document merged =
        internal::MergeOverlay(base, overlays[site], site, errors);
    internal::BuildSiteConfig(merged, site, errors);
  }
  CheckTokensBetweenOverlays(overlays, errors);
  return errors;
}

}  // namespace kingcupdrift
