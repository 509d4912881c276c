#ifndef KINGCUPDRIFT_CLI_INTERNAL_OFFLINE_COMMANDS_H_
#define KINGCUPDRIFT_CLI_INTERNAL_OFFLINE_COMMANDS_H_

#include "kingcupdrift/cli/internal/command_io.h"
#include "kingcupdrift/cli/internal/config_files.h"

namespace kingcupdrift::internal {

/// `config check`: lists every fault, or what the documents define.
ExitCode CheckConfig(const ConfigFiles& files, const CommandIo& io);

/// `config show`: the merged options of `site` and where each was set.
ExitCode ShowConfig(const ConfigFiles& files,
                    const SiteId& site,
                    const CommandIo& io);

/// Writes faults as lines or JSON.
void WriteConfigErrors(const ConfigErrors& errors, const CommandIo& io);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_OFFLINE_COMMANDS_H_
