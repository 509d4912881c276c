#include "kingcupdrift/config/internal/merge.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace kingcupdrift::internal {
namespace {

/// Merges one overlay into `merged` and reports values that an overlay may not
/// set.
class Merger {
 public:
  Merger(Document& merged, const SiteId& site, ConfigErrors& errors)
      : merged_(merged), site_(site), errors_(errors) {
    for (const auto& [id, table] : merged.TablesIn(Section::kWorkspaces)) {
      if (const auto* digest = table.Find<std::string>("token_digest")) {
        base_tokens_.emplace(*digest, id);
      }
    }
  }

  void Apply(const Document& overlay) {
    for (const Section section : kSections) {
      for (const auto& [id, table] : overlay.TablesIn(section)) {
        ApplyTable(section, id, table);
      }
    }
  }

 private:
  void ApplyTable(Section section,
                  const std::string& id,
                  const ConfigTable& table) {
    ConfigTables& items = merged_.TablesIn(section);
    const auto it = items.find(id);
    if (it != items.end() && !IsForSite(it->second, site_)) {
      AddNotAllowed(table.location, DottedKey(section, id, ""),
                    "a table that the base limits to other sites",
                    "a table whose `sites` in the base names this site");
      return;
    }
    if (section == Section::kSites) {
      AddNotAllowed(table.location, DottedKey(section, id, ""),
                    "a site in an overlay", "sites only in the base");
      return;
    }
    const bool is_in_base = it != items.end();
    ConfigTable& target = items[id];
    if (!is_in_base) {
      target.location = table.location;
    }
    for (const auto& [key, value] : table.options) {
      ApplyOption(section, id, key, value, target);
    }
  }

  void ApplyOption(Section section,
                   const std::string& id,
                   const std::string& key,
                   const OptionValue& value,
                   ConfigTable& target) {
    const OptionSpec* spec = FindOption(section, key);
    if (spec->scope == OptionScope::kBaseOnly) {
      AddNotAllowed(value.location, DottedKey(section, id, key), value.text,
                    "this option may be set only in the base");
      return;
    }
    if (spec->scope == OptionScope::kOverlayIfUnset &&
        target.options.contains(key)) {
      AddNotAllowed(value.location, DottedKey(section, id, key), value.text,
                    "the base's value, which an overlay may not change");
      return;
    }
    if (key == "token_digest" && IsTokenOfAnother(id, value)) {
      AddNotAllowed(value.location, DottedKey(section, id, key),
                    "a token that the base gives to another workspace",
                    "a token that no other workspace has");
      return;
    }
    target.options.insert_or_assign(key, value);
  }

  bool IsTokenOfAnother(const std::string& id, const OptionValue& value) const {
    const auto it = base_tokens_.find(std::get<std::string>(value.value));
    return it != base_tokens_.end() && it->second != id;
  }

  void AddNotAllowed(const SourceLocation& location,
                     std::string key,
                     std::string found,
                     std::string allowed) {
    errors_.push_back({ConfigErrorKind::kNotAllowed, location.file,
                       location.line, std::move(key), std::move(found),
                       std::move(allowed)});
  }

  Document& merged_;
  const SiteId& site_;
  ConfigErrors& errors_;
  /// Identifiers of the base's workspaces by token digest.
  std::map<std::string, std::string> base_tokens_;
};

}  // namespace

bool IsForSite(const ConfigTable& table, const SiteId& site) {
  const auto* sites = table.Find<std::vector<std::string>>("sites");
  return sites == nullptr ||
         std::find(sites->begin(), sites->end(), site.value()) != sites->end();
}

Document MergeOverlay(Document base,
                      const Document& overlay,
                      const SiteId& site,
                      ConfigErrors& errors) {
  Merger(base, site, errors).Apply(overlay);
  return base;
}

}  // namespace kingcupdrift::internal
