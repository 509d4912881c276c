#include "kingcupdrift/cli/internal/config_files.h"

#include <fstream>
#include <utility>

#include "kingcupdrift/cli/internal/flag_table.h"

namespace kingcupdrift::internal {

Result<std::string> ReadFile(const std::string& name) {
  std::ifstream in(name, std::ios::binary);
  if (!in) {
    return MakeError(ErrorCode::kNotFound,
                     fmt::format("{}: cannot be opened", name));
  }
  std::string text(kMaxDocumentBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (text.size() > kMaxDocumentBytes) {
    return MakeError(
        ErrorCode::kRefused,
        fmt::format("{}: longer than {} bytes", name, kMaxDocumentBytes));
  }
  return text;
}

Result<ConfigFiles> ReadConfigFiles(const std::string& base,
                                    const std::string& overlays) {
  ConfigFiles files;
  if (!base.empty()) {
    Result<std::string> text = ReadFile(base);
    if (!text) {
      return tl::unexpected(text.error());
    }
    files.documents.base = std::move(*text);
    files.names.base = base;
    files.has_base = true;
  }
  for (const std::string& part : SplitList(overlays)) {
    const std::size_t equals = part.find('=');
    const SiteId site(part.substr(0, equals));
    const std::string name = part.substr(equals + 1);
    Result<std::string> text = ReadFile(name);
    if (!text) {
      return tl::unexpected(text.error());
    }
    files.documents.overlays[site] = std::move(*text);
    files.names.overlays[site] = name;
  }
  return files;
}

}  // namespace kingcupdrift::internal
