#ifndef KINGCUPDRIFT_CLI_CLI_H_
#define KINGCUPDRIFT_CLI_CLI_H_

/// @file
/// Public header of the command line.

#include <string>

namespace kingcupdrift {

/// Exit codes of all commands but `serve` and `serve-platform`: these return
/// kUsage for a wrong flag, else the exit code of the function that serves (see
/// their help text).
enum class ExitCode : int {
  kOk = 0,
  /// The command found an error (an invalid document, a difference in an audit,
  /// an approved configuration record that does not name the digest of the one
  /// before it) or failed for a reason that has no other code.
  kFailure = 1,
  /// The command line, a flag or an environment variable is wrong.
  kUsage = 2,
  /// The store, the platform's instance list or an instance gave no usable
  /// answer: it could not be reached, timed out or was overloaded; for an audit
  /// or a timeline, also any other error of an instance; for a timeline, also
  /// an empty list of instances.
  kUnreachable = 3,
  /// Another operator changed the configuration first.
  kConflict = 4,
  /// A write may have taken effect; the output says how to find out.
  kUnknownEffect = 5,
};

/// Runs one instance on the users' platform with the settings file at
/// `settings_path` until it is stopped; returns the exit code.
using ServePlatformFunction = int (*)(const std::string& settings_path);

/// Runs one command and returns the process's exit code.
int RunCommandLine(int argc, char** argv, ServePlatformFunction serve_platform);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CLI_CLI_H_
