#include "kingcupdrift/base/log.h"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>

namespace kingcupdrift {
namespace {

LogLevel g_level = LogLevel::kInfo;

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

}  // namespace

void SetLogLevel(LogLevel level) {
  g_level = level;
}

bool IsLogged(LogLevel level) {
  return level >= g_level;
}

void WriteLog(LogLevel level, std::string_view part, std::string_view text) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  fmt::print(stderr, "{:%FT%T}Z {} {}: {}\n", now, LevelName(level), part,
             text);
}

}  // namespace kingcupdrift
