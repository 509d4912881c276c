#ifndef KINGCUPDRIFT_CLI_INTERNAL_CONFIG_FILES_H_
#define KINGCUPDRIFT_CLI_INTERNAL_CONFIG_FILES_H_

#include <string>

#include "kingcupdrift/config/config.h"

namespace kingcupdrift::internal {

/// Configuration documents, and the names of their files for messages.
/// Documents from the store have the default names: "base" and the site's name.
struct ConfigFiles {
  ConfigDocuments documents;
  DocumentNameMap names;
  /// `documents.base` was read, from a file or from the store.
  bool has_base = false;
};

/// Reads one file. Errors: kNotFound if it cannot be opened, kRefused if it is
/// longer than `kMaxDocumentBytes`.
Result<std::string> ReadFile(const std::string& name);

/// Reads the base file, if `base` is not empty, and the overlay files, given as
/// "SITE=FILE,...". Errors: those of `ReadFile`.
Result<ConfigFiles> ReadConfigFiles(const std::string& base,
                                    const std::string& overlays);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_CONFIG_FILES_H_
