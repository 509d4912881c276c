#include "kingcupdrift/base/log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

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

/// Keeps texts that other processes have written from adding lines of their
/// own.
std::string ReplaceControlCharacters(std::string_view text) {
  constexpr unsigned char kDelete = 0x7f;
  std::string out(text);
  std::replace_if(
      out.begin(), out.end(),
      [](char it) {
        const auto byte = static_cast<unsigned char>(it);
        return byte < ' ' || byte == kDelete;
      },
      '?');
  return out;
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
             ReplaceControlCharacters(text));
}

}  // namespace kingcupdrift
