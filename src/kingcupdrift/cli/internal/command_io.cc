#include "kingcupdrift/cli/internal/command_io.h"

#include <fmt/chrono.h>

#include <algorithm>

namespace kingcupdrift::internal {
namespace {

constexpr std::size_t kShortDigestDigits = 12;
constexpr std::size_t kColumnGap = 2;

}  // namespace

void WriteJson(const Json& json, std::ostream& out) {
  out << json.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

void WriteTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream& out) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + kColumnGap, ' ');
      }
    }
    out << line << '\n';
  }
}

std::string FormatTime(WallTime time) {
  return fmt::format("{:%FT%T}Z",
                     std::chrono::time_point_cast<std::chrono::seconds>(time));
}

std::string ShortDigest(const std::string& digest) {
  return digest.empty() ? "-" : digest.substr(0, kShortDigestDigits);
}

ExitCode ToExitCode(const Error& error) {
  switch (error.code) {
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kUnknownEffect:
      return ExitCode::kUnknownEffect;
    case ErrorCode::kUnavailable:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kConnectionLost:
    case ErrorCode::kOverloaded:
      return ExitCode::kUnreachable;
    default:
      return ExitCode::kFailure;
  }
}

ExitCode Fail(const CommandIo& io,
              const Error& error,
              const std::string& next_step) {
  io.err << "kingcupdrift: " << GetErrorCodeName(error.code) << ": "
         << error.detail << '\n';
  io.err << "Next: " << next_step << '\n';
  return ToExitCode(error);
}

}  // namespace kingcupdrift::internal
