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

/// Output of a command: results go to `out`, errors and advice to `err`.
struct CommandIo {
  std::ostream& out;
  std::ostream& err;
  /// Results are written as JSON.
  bool is_json = false;
};

/// Writes one JSON value and a line end.
void WriteJson(const Json& json, std::ostream& out);
/// Writes rows with aligned columns; the first row is the header.
void WriteTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream& out);
/// "2026-01-31T12:00:00Z".
std::string FormatTime(WallTime time);
/// The first 12 digits of a digest, for tables; "-" if it is empty.
std::string ShortDigest(const std::string& digest);

/// Returns the exit code for an error.
ExitCode ToExitCode(const Error& error);
/// Writes "kingcupdrift: CODE: DETAIL" and a line "Next: NEXT_STEP" to `err`.
/// Returns the exit code for `error`.
ExitCode Fail(const CommandIo& io,
              const Error& error,
              const std::string& next_step);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_COMMAND_IO_H_
