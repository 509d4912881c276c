#ifndef KINGCUPDRIFT_BASE_LOG_H_
#define KINGCUPDRIFT_BASE_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace kingcupdrift {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets the lowest level that is written. It is kInfo at start.
void SetLogLevel(LogLevel level);
bool IsLogged(LogLevel level);
/// Writes one line "TIMEZ LEVEL PART: TEXT" to standard error: UTC with ms,
/// LEVEL in lower case, "?" for control characters. The level is not checked.
void WriteLog(LogLevel level, std::string_view part, std::string_view text);

/// Writes log lines for one part of the program, which each line names.
class Logger {
 public:
  explicit constexpr Logger(std::string_view part) : part_(part) {}

  template <typename... Args>
  void Debug(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kDebug, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Info(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kInfo, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Warning(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kWarning, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Error(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kError, format, std::forward<Args>(args)...);
  }

 private:
  template <typename... Args>
  void Write(LogLevel level,
             fmt::format_string<Args...> format,
             Args&&... args) const {
    if (IsLogged(level)) {
      WriteLog(level, part_, fmt::format(format, std::forward<Args>(args)...));
    }
  }

  std::string_view part_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_LOG_H_
