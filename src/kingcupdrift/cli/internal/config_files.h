#ifndef KINGCUPDRIFT_CLI_INTERNAL_CONFIG_FILES_H_
#define KINGCUPDRIFT_CLI_INTERNAL_CONFIG_FILES_H_

#include <string>

#include "kingcupdrift/config/config.h"

namespace kingcupdrift::internal {

/// Documents read from files, and the files' names for messages.
struct ConfigFiles {
  ConfigDocuments documents;
  DocumentNameMap names;
  bool has_base = false;
};

/// Reads one file of at most `kMaxDocumentBytes`. Errors: kNotFound, kRefused.
Result<std::string> ReadFile(const std::string& name);

/// Reads the base, if named, and the overlays, as "SITE=FILE,...".
Result<ConfigFiles> ReadConfigFiles(const std::string& base,
                                    const std::string& overlays);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_CONFIG_FILES_H_
