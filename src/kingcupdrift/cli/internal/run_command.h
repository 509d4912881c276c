#ifndef KINGCUPDRIFT_CLI_INTERNAL_RUN_COMMAND_H_
#define KINGCUPDRIFT_CLI_INTERNAL_RUN_COMMAND_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "kingcupdrift/cli/cli.h"
#include "kingcupdrift/cli/internal/command_line.h"
#include "kingcupdrift/entry/entry_settings.h"

namespace kingcupdrift::internal {

/// Runs one instance; returns the process's exit code.
using Serve = std::function<int(const EntrySettings& settings)>;

/// Runs one instance on the users' platform; `settings_path` names the settings
/// file that the platform wrote.
using ServePlatform = std::function<int(const std::string& settings_path)>;

/// Functions that run an instance, passed in so that tests can replace them.
struct ServeFunctions {
  Serve serve;
  ServePlatform serve_platform;
};

/// Runs one command, given as the words after the program's name. Writes
/// results to `out` and errors to `err`; returns the process's exit code.
int RunCommand(const std::vector<std::string>& words,
               const Environment& environment,
               const ServeFunctions& servers,
               std::ostream& out,
               std::ostream& err);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_RUN_COMMAND_H_
