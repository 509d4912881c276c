#ifndef KINGCUPDRIFT_CLI_INTERNAL_COMMAND_IO_H_
#define KINGCUPDRIFT_CLI_INTERNAL_COMMAND_IO_H_

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/cli/cli.h"

namespace kingcupdrift::internal {

using Json = nlohmann::ordered_json;

/// Where a command writes: results to `out`, faults and advice to `err`.
struct CommandIo {
  std::ostream& out;
  std::ostream& err;
  /// Results as JSON.
  bool is_json = false;
};

/// Writes one JSON value and a line end.
void WriteJson(const Json& json, std::ostream& out);
/// Writes rows with aligned columns; the first row is the header.
void WriteTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream& out);
/// "2026-01-31T12:00:00Z".
std::string FormatTime(WallTime time);
/// First digits of a digest, enough for people.
std::string ShortDigest(const std::string& digest);

/// Exit code that stands for an error.
ExitCode ToExitCode(const Error& error);
/// Writes "kingcupdrift: TEXT" and, below it, what to do next.
ExitCode Fail(const CommandIo& io,
              const Error& error,
              const std::string& next_step);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_COMMAND_IO_H_
