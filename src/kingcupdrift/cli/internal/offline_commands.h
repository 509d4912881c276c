#ifndef KINGCUPDRIFT_CLI_INTERNAL_OFFLINE_COMMANDS_H_
#define KINGCUPDRIFT_CLI_INTERNAL_OFFLINE_COMMANDS_H_

#include "kingcupdrift/cli/internal/command_io.h"
#include "kingcupdrift/cli/internal/config_files.h"

namespace kingcupdrift::internal {

/// `config check`: lists every error in the documents. If there is none, prints
/// the number of services, engines and workspaces of each site with an overlay.
ExitCode CheckConfig(const ConfigFiles& files, const CommandIo& io);

/// `config show`: prints the merged options of `site` and the file and line
/// that set each.
ExitCode ShowConfig(const ConfigFiles& files,
                    const SiteId& site,
                    const CommandIo& io);

/// Writes errors as JSON to `out`, or as lines to `err`.
void WriteConfigErrors(const ConfigErrors& errors, const CommandIo& io);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_OFFLINE_COMMANDS_H_
