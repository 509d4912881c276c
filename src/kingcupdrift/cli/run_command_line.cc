#include <iostream>

#include "kingcupdrift/cli/cli.h"
#include "kingcupdrift/cli/internal/run_command.h"
#include "kingcupdrift/net/net.h"

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace kingcupdrift {
namespace {

internal::Environment ReadEnvironment() {
  internal::Environment out;
  for (char** it = environ; *it != nullptr; ++it) {
    const std::string entry = *it;
    const std::size_t equals = entry.find('=');
    if (equals != std::string::npos) {
      out[entry.substr(0, equals)] = entry.substr(equals + 1);
    }
  }
  return out;
}

}  // namespace

int RunCommandLine(int argc,
                   char** argv,
                   ServePlatformFunction serve_platform) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  return internal::RunCommand(words, ReadEnvironment(),
                              {RunEntryProcess, serve_platform}, std::cout,
                              std::cerr);
}

}  // namespace kingcupdrift
