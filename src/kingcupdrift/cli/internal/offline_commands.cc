#include "kingcupdrift/cli/internal/offline_commands.h"

namespace kingcupdrift::internal {
namespace {

Json BuildConfigErrorsJson(const ConfigErrors& errors) {
  Json list = Json::array();
  for (const ConfigError& it : errors) {
    list.push_back({{"file", it.file},
                    {"line", it.line},
                    {"key", it.key},
                    {"found", it.found},
                    {"allowed", it.allowed}});
  }
  return list;
}

/// The site's overlay, or an empty string.
std::string OverlayOf(const ConfigFiles& files, const SiteId& site) {
  const auto it = files.documents.overlays.find(site);
  return it == files.documents.overlays.end() ? "" : it->second;
}

}  // namespace

void WriteConfigErrors(const ConfigErrors& errors, const CommandIo& io) {
  if (io.is_json) {
    WriteJson({{"valid", false}, {"faults", BuildConfigErrorsJson(errors)}},
              io.out);
    return;
  }
  for (const ConfigError& it : errors) {
    io.err << ToString(it) << '\n';
  }
  io.err << "Next: correct the errors above (" << errors.size()
         << "), then repeat the command.\n";
}

ExitCode CheckConfig(const ConfigFiles& files, const CommandIo& io) {
  const ConfigErrors errors = ValidateDocuments(files.documents, files.names);
  if (!errors.empty()) {
    WriteConfigErrors(errors, io);
    return ExitCode::kFailure;
  }
  Json sites = Json::array();
  std::vector<std::vector<std::string>> rows = {
      {"SITE", "SERVICES", "ENGINES", "WORKSPACES"}};
  for (const auto& [site, text] : files.documents.overlays) {
    const auto config = ParseSiteConfig(files.documents.base, text, site);
    sites.push_back({{"site", site.value()},
                     {"services", config->services.size()},
                     {"engines", config->engines.size()},
                     {"workspaces", config->workspaces.size()}});
    rows.push_back({site.value(), std::to_string(config->services.size()),
                    std::to_string(config->engines.size()),
                    std::to_string(config->workspaces.size())});
  }
  if (io.is_json) {
    WriteJson({{"valid", true}, {"sites", sites}}, io.out);
    return ExitCode::kOk;
  }
  WriteTable(rows, io.out);
  io.out << "No faults.\n";
  return ExitCode::kOk;
}

ExitCode ShowConfig(const ConfigFiles& files,
                    const SiteId& site,
                    const CommandIo& io) {
  const DocumentNames names{files.names.base, files.names.OverlayName(site)};
  const auto sources = ExplainSiteConfig(files.documents.base,
                                         OverlayOf(files, site), site, names);
  if (!sources) {
    WriteConfigErrors(sources.error(), io);
    return ExitCode::kFailure;
  }
  if (io.is_json) {
    Json list = Json::array();
    for (const ConfigValueSource& it : *sources) {
      list.push_back({{"key", it.key},
                      {"value", it.value},
                      {"file", it.file},
                      {"line", it.line}});
    }
    WriteJson({{"site", site.value()}, {"options", list}}, io.out);
    return ExitCode::kOk;
  }
  std::vector<std::vector<std::string>> rows = {{"OPTION", "VALUE", "SET BY"}};
  for (const ConfigValueSource& it : *sources) {
    const std::string place =
        it.line > 0 ? fmt::format("{}:{}", it.file, it.line) : it.file;
    rows.push_back({it.key, it.value, place});
  }
  WriteTable(rows, io.out);
  return ExitCode::kOk;
}

}  // namespace kingcupdrift::internal
