#include "kingcupdrift/config/internal/site_builder.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/config/duration_text.h"
#include "kingcupdrift/config/internal/config_table_reader.h"
#include "kingcupdrift/config/internal/merge.h"

namespace kingcupdrift::internal {
namespace {

using TextList = std::vector<std::string>;

/// For each name that must be unique within a site, the option and line that
/// set it first.
using UniqueNames = std::map<std::string, std::string>;

/// Builds the configuration of one site and collects faults between options.
class SiteBuilder {
 public:
  SiteBuilder(const Document& merged, const SiteId& site, ConfigErrors& errors)
      : merged_(merged), site_(site), errors_(errors) {
    config_.site = site;
  }

  SiteConfig Build() {
    ReadSite();
    CheckSiteLists(Section::kServices);
    CheckSiteLists(Section::kWorkspaces);
    for (const auto& [id, table] : merged_.TablesIn(Section::kServices)) {
      if (IsInForce(table)) {
        AddService(id, table);
      }
    }
    for (const auto& [id, table] : merged_.TablesIn(Section::kEngines)) {
      if (table.IsEnabled()) {
        AddEngine(id, table);
      }
    }
    for (const auto& [id, table] : merged_.TablesIn(Section::kWorkspaces)) {
      if (IsInForce(table)) {
        AddWorkspace(id, table);
      }
    }
    return std::move(config_);
  }

 private:
  bool IsInForce(const ConfigTable& table) const {
    return table.IsEnabled() && IsForSite(table, site_);
  }

  void ReadSite() {
    const ConfigTables& sites = merged_.TablesIn(Section::kSites);
    const auto it = sites.find(site_.value());
    if (it == sites.end()) {
      errors_.push_back({ConfigErrorKind::kUnknownReference, "base", 0,
                         DottedKey(Section::kSites, site_.value(), ""),
                         "an unknown site", "a site that the base defines"});
      return;
    }
    ConfigTableReader reader(Section::kSites, it->first, it->second, errors_);
    reader.Require("failure_domains");
    reader.Assign("failure_domains", failure_domains_);
  }

  void CheckSiteLists(Section section) {
    const ConfigTables& sites = merged_.TablesIn(Section::kSites);
    for (const auto& [id, table] : merged_.TablesIn(section)) {
      const auto* list = table.Find<TextList>("sites");
      if (list == nullptr) {
        continue;
      }
      for (const std::string& name : *list) {
        if (!sites.contains(name)) {
          ConfigTableReader(section, id, table, errors_)
              .AddError(ConfigErrorKind::kUnknownReference, "sites",
                        fmt::format("unknown site \"{}\"", name),
                        "sites that the base defines");
        }
      }
    }
  }

  void AddService(const std::string& id, const ConfigTable& table) {
    ConfigTableReader reader(Section::kServices, id, table, errors_);
    reader.RequireAll();
    ServiceConfig service;
    service.id = ServiceId(id);
    const auto* kind = table.Find<std::string>("kind");
    service.kind = kind != nullptr && *kind == "plain" ? ServiceKind::kPlain
                                                       : ServiceKind::kModel;
    reader.Assign("model", service.model);
    reader.Assign("path_prefix", service.path_prefix);
    reader.Assign("non_idempotent_routes", service.non_idempotent_routes);
    reader.Assign("default_time_limit", service.default_time_limit);
    reader.Assign("max_time_limit", service.max_time_limit);
    reader.Assign("own_time_weight", service.own_time_weight);
    reader.Assign("inflicted_delay_weight", service.inflicted_delay_weight);
    reader.Assign("retry_ratio", service.retry_ratio);
    reader.Assign("max_queued", service.max_queued);
    reader.Assign("max_ejected_share", service.max_ejected_share);
    reader.Assign("hedging", service.is_hedging_enabled);
    reader.Assign("priority", service.priority);
    reader.Assign("default_output_tokens", service.default_output_tokens);
    reader.Assign("idempotency_window", service.idempotency_window);
    reader.Assign("adapter", service.adapter);
    reader.Assign("version", service.version);
    if (kind != nullptr) {
      CheckService(service, reader);
    }
    config_.services.emplace(service.id, std::move(service));
  }

  void CheckService(const ServiceConfig& service, ConfigTableReader& reader) {
    if (service.kind == ServiceKind::kModel) {
      CheckModelService(service, reader);
    } else {
      CheckPlainService(service, reader);
    }
    if (service.default_time_limit > service.max_time_limit) {
      const bool is_default_set =
          reader.table().options.contains("default_time_limit");
      reader.AddError(
          ConfigErrorKind::kConflict,
          is_default_set ? "default_time_limit" : "max_time_limit",
          fmt::format("default_time_limit {} above max_time_limit {}",
                      FormatDuration(service.default_time_limit),
                      FormatDuration(service.max_time_limit)),
          "a default_time_limit of at most max_time_limit");
    }
  }

  void CheckModelService(const ServiceConfig& service,
                         ConfigTableReader& reader) {
    reader.Require("model");
    reader.Forbid("path_prefix", "only for services of kind \"plain\"");
    reader.Forbid("non_idempotent_routes",
                  "only for services of kind \"plain\"");
    if (!service.model.empty()) {
      CheckUnique(models_, service.model, "model", reader);
    }
  }

  void CheckPlainService(const ServiceConfig& service,
                         ConfigTableReader& reader) {
    reader.Require("path_prefix");
    reader.Forbid("model", "only for services of kind \"model\"");
    reader.Forbid("adapter", "only for services of kind \"model\"");
    reader.Forbid("version", "only for services of kind \"model\"");
    if (service.path_prefix.empty()) {
      return;
    }
    CheckUnique(prefixes_, service.path_prefix, "path_prefix", reader);
    for (const std::string& route : service.non_idempotent_routes) {
      const std::string path = route.substr(route.find(' ') + 1);
      if (!path.starts_with(service.path_prefix)) {
        reader.AddError(ConfigErrorKind::kConflict, "non_idempotent_routes",
                        fmt::format("\"{}\"", route),
                        "paths below the service's path_prefix");
      }
    }
  }

  void AddEngine(const std::string& id, const ConfigTable& table) {
    ConfigTableReader reader(Section::kEngines, id, table, errors_);
    reader.RequireAll();
    const auto* service_id = table.Find<std::string>("service");
    if (service_id == nullptr || !CheckServiceReference(*service_id, reader)) {
      return;
    }
    EngineConfig engine;
    engine.id = EngineId(id);
    engine.service = ServiceId(*service_id);
    reader.Assign("memory", engine.memory);
    if (const auto* text = table.Find<std::string>("endpoint")) {
      engine.endpoint = ParseEndpoint(*text).value_or(Endpoint{});
      CheckUnique(endpoints_, *text, "endpoint", reader);
    }
    if (const auto* text = table.Find<std::string>("failure_domain")) {
      engine.failure_domain = FailureDomain(*text);
      CheckFailureDomain(*text, reader);
    }
    if (const auto* text = table.Find<std::string>("fencing")) {
      engine.is_fencing_enforced = *text == "enforced";
    }
    config_.engines.emplace(engine.id, std::move(engine));
  }

  /// True if the service is enabled at this site. Reports a service that no
  /// document defines.
  bool CheckServiceReference(const std::string& service,
                             ConfigTableReader& reader) {
    if (!merged_.TablesIn(Section::kServices).contains(service)) {
      reader.AddError(ConfigErrorKind::kUnknownReference, "service",
                      fmt::format("unknown service \"{}\"", service),
                      "a service that is defined");
    }
    return config_.services.contains(ServiceId(service));
  }

  void CheckFailureDomain(const std::string& name, ConfigTableReader& reader) {
    const bool is_known =
        std::find(failure_domains_.begin(), failure_domains_.end(), name) !=
        failure_domains_.end();
    if (!is_known) {
      reader.AddError(ConfigErrorKind::kUnknownReference, "failure_domain",
                      fmt::format("\"{}\"", name),
                      fmt::format("a failure domain of the site: {}",
                                  fmt::join(failure_domains_, ", ")));
    }
  }

  void AddWorkspace(const std::string& id, const ConfigTable& table) {
    ConfigTableReader reader(Section::kWorkspaces, id, table, errors_);
    reader.RequireAll();
    WorkspaceConfig workspace;
    workspace.id = WorkspaceId(id);
    reader.Assign("token_digest", workspace.token_digest);
    reader.Assign("weight", workspace.weight);
    reader.Assign("requests_per_second", workspace.requests_per_second);
    reader.Assign("tokens_per_second", workspace.tokens_per_second);
    reader.Assign("priority", workspace.priority);
    if (const auto* list = table.Find<TextList>("services")) {
      AddWorkspaceServices(*list, reader, workspace);
    }
    if (!workspace.token_digest.empty()) {
      CheckUnique(tokens_, workspace.token_digest, "token_digest", reader);
    }
    config_.workspaces.emplace(workspace.id, std::move(workspace));
  }

  void AddWorkspaceServices(const TextList& list,
                            ConfigTableReader& reader,
                            WorkspaceConfig& workspace) {
    for (const std::string& name : list) {
      if (!merged_.TablesIn(Section::kServices).contains(name)) {
        reader.AddError(ConfigErrorKind::kUnknownReference, "services",
                        fmt::format("unknown service \"{}\"", name),
                        "services that are defined");
      }
      workspace.services.insert(ServiceId(name));
    }
  }

  static void CheckUnique(UniqueNames& names,
                          const std::string& name,
                          std::string_view option,
                          ConfigTableReader& reader) {
    const auto [it, is_new] = names.emplace(name, reader.Describe(option));
    if (!is_new) {
      reader.AddError(ConfigErrorKind::kConflict, option,
                      fmt::format("the same value as {}", it->second),
                      "a value that no other table has");
    }
  }

  const Document& merged_;
  const SiteId& site_;
  ConfigErrors& errors_;
  SiteConfig config_;
  TextList failure_domains_;
  UniqueNames models_;
  UniqueNames prefixes_;
  UniqueNames endpoints_;
  UniqueNames tokens_;
};

}  // namespace

SiteConfig BuildSiteConfig(const Document& merged,
                           const SiteId& site,
                           ConfigErrors& errors) {
  return SiteBuilder(merged, site, errors).Build();
}

}  // namespace kingcupdrift::internal
