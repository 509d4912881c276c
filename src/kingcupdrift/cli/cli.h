#ifndef KINGCUPDRIFT_CLI_CLI_H_
#define KINGCUPDRIFT_CLI_CLI_H_

/// @file
/// Public header of the command line.

#include <string>

namespace kingcupdrift {

/// Exit codes of the program.
enum class ExitCode : int {
  kOk = 0,
  /// The command ran and found a fault: an invalid document, a difference in an
  /// audit, a broken chain.
  kFailure = 1,
  /// The command line, a flag or an environment variable is wrong.
  kUsage = 2,
  /// The store or an entry could not be reached.
  kUnreachable = 3,
  /// Another operator changed the configuration first.
  kConflict = 4,
  /// A write may have taken effect; the output says how to find out.
  kUnknownEffect = 5,
};

/// Serves on the users' platform by the settings file named; returns the exit
/// code.
using ServePlatformFunction = int (*)(const std::string& settings_path);

/// Runs one command and returns the process's exit code.
int RunCommandLine(int argc, char** argv, ServePlatformFunction serve_platform);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CLI_CLI_H_
