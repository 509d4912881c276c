#ifndef KINGCUPDRIFT_CLI_INTERNAL_FLAG_TABLE_H_
#define KINGCUPDRIFT_CLI_INTERNAL_FLAG_TABLE_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::internal {

/// Commands of the program.
enum class Command {
  kServe,
  /// Serves on the users' platform, with a settings file instead of flags.
  kServePlatform,
  kConfigCheck,
  kConfigShow,
  kConfigSubmit,
  kConfigApprove,
  kConfigHistory,
  kConfigAudit,
  kTimeline,
  kVersion,
  kHelp,
};

/// One flag. Its default and help text are those of the Abseil flag of the same
/// name.
struct FlagSpec {
  std::string_view name;
  /// Placeholder for the value in help texts, such as "IP:PORT". If empty, the
  /// flag may be given without a value, which sets it to true.
  std::string_view placeholder;
  /// Describes the values that `is_valid` accepts, for error messages.
  std::string_view allowed;
  /// Returns true if the value is allowed. `--NAME=` passes an empty value.
  bool (*is_valid)(std::string_view text);
  std::vector<Command> commands;
  /// The error message for a value that is not allowed does not show it.
  bool is_secret = false;
};

std::span<const FlagSpec> GetAllFlags();
/// Returns null if there is no such flag.
const FlagSpec* FindFlag(std::string_view name);
bool IsFlagOf(const FlagSpec& flag, Command command);
/// "KINGCUPDRIFT_STORE" for "store".
std::string GetEnvironmentVariableName(std::string_view flag);

/// Current value, as text.
std::string GetFlagText(std::string_view name);
std::string GetFlagDefault(std::string_view name);
std::string GetFlagHelp(std::string_view name);
/// Checks a value and sets the flag to it. `source` is the flag or environment
/// variable that the value came from. Errors: kInvalidArgument, naming
/// `source`.
Result<void> SetFlagText(const FlagSpec& flag,
                         std::string_view source,
                         std::string_view value);

/// Splits a text at commas and drops empty parts.
std::vector<std::string> SplitList(std::string_view text);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_FLAG_TABLE_H_
