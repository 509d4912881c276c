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
  /// What stands for the value in help texts, such as "IP:PORT".
  std::string_view unit;
  std::string_view allowed;
  /// Whether a value that is not empty is allowed.
  bool (*is_valid)(std::string_view text);
  std::vector<Command> commands;
  bool is_secret = false;
};

std::span<const FlagSpec> GetAllFlags();
/// Null when there is no such flag.
const FlagSpec* FindFlag(std::string_view name);
bool IsFlagOf(const FlagSpec& flag, Command command);
/// "KINGCUPDRIFT_STORE" for "store".
std::string GetEnvironmentVariableName(std::string_view flag);

/// Value in force, as text.
std::string GetFlagText(std::string_view name);
std::string GetFlagDefault(std::string_view name);
std::string GetFlagHelp(std::string_view name);
/// Sets a flag after checking it. Errors: kInvalidArgument, naming `source`.
Result<void> SetFlagText(const FlagSpec& flag,
                         std::string_view source,
                         std::string_view value);

/// "a,b" as two texts; empty texts are left out.
std::vector<std::string> SplitList(std::string_view text);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_FLAG_TABLE_H_
