#ifndef KINGCUPDRIFT_CLI_INTERNAL_COMMAND_LINE_H_
#define KINGCUPDRIFT_CLI_INTERNAL_COMMAND_LINE_H_

#include <map>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/cli/internal/flag_table.h"

namespace kingcupdrift::internal {

using Environment = std::map<std::string, std::string>;

/// A command and its arguments. Flags are not part of it: `ParseCommandLine`
/// sets the process-wide Abseil flags.
struct CommandLine {
  Command command = Command::kHelp;
  /// Words after the command that are not flags.
  std::vector<std::string> arguments;
  /// "--help" was given.
  bool is_help_wanted = false;
};

/// Name as typed, such as "config check".
std::string_view GetCommandName(Command command);

/// Parses the words after the program's name and the environment, and sets the
/// Abseil flags, unless "--help" was given. A flag takes precedence over its
/// environment variable. An empty variable counts as not set; variables of
/// other commands' flags are ignored. Errors: kInvalidArgument, also for an
/// unknown variable whose name begins with KINGCUPDRIFT_, with one line that
/// names the flag, variable or word and what is allowed.
Result<CommandLine> ParseCommandLine(const std::vector<std::string>& words,
                                     const Environment& environment);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_COMMAND_LINE_H_
