#ifndef KINGCUPDRIFT_CLI_INTERNAL_HELP_TEXT_H_
#define KINGCUPDRIFT_CLI_INTERNAL_HELP_TEXT_H_

#include <string>

#include "kingcupdrift/cli/internal/flag_table.h"

namespace kingcupdrift::internal {

/// Formats the list of commands.
std::string FormatGeneralHelp();
/// Formats what a command does, its flags with placeholder, default and
/// environment variable, and its exit codes.
std::string FormatCommandHelp(Command command);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_HELP_TEXT_H_
