#include "kingcupdrift/config/config_error.h"

namespace kingcupdrift {

std::string ToString(const ConfigError& error) {
  std::string place = error.file;
  if (error.line > 0) {
    place += fmt::format(":{}", error.line);
  }
  if (!error.key.empty()) {
    place += fmt::format(": {}", error.key);
  }
  return fmt::format("{}: {}; allowed: {}", place, error.found, error.allowed);
}

Error ToError(const ConfigErrors& errors) {
  Error out{ErrorCode::kInvalidArgument, ""};
  for (const ConfigError& it : errors) {
    if (!out.detail.empty()) {
      out.detail += '\n';
    }
    out.detail += ToString(it);
  }
  return out;
}

}  // namespace kingcupdrift
