#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "tests/scenarios/scenario.h"

namespace kingcupdrift::scenarios {
namespace {

/// Returns all scripts, sorted, or only the one named in the environment
/// variable KINGCUPDRIFT_SCENARIO.
std::vector<std::filesystem::path> Scripts() {
  const std::filesystem::path folder =
      std::string(KINGCUPDRIFT_SOURCE_DIR) + "/tests/scenarios";
  const char* selected_script = std::getenv("KINGCUPDRIFT_SCENARIO");
  std::vector<std::filesystem::path> scripts;
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    const bool is_script = it.path().extension() == ".lua";
    if (is_script &&
        (selected_script == nullptr || it.path().stem() == selected_script)) {
      scripts.push_back(it.path());
    }
  }
  std::sort(scripts.begin(), scripts.end());
  return scripts;
}

TEST_CASE("Every scenario script passes [scenarios]") {
  SetLogLevel(LogLevel::kError);
  const std::uint64_t seed = SeedFromEnvironment(1);
  const auto scripts = Scripts();
  REQUIRE(!scripts.empty());
  for (const auto& script : scripts) {
    const std::string failure = RunScript(script.string(), seed);
    INFO("KINGCUPDRIFT_SCENARIO=", script.stem().string(),
         " KINGCUPDRIFT_SEED=", seed);
    CHECK(failure == "");
  }
}

}  // namespace
}  // namespace kingcupdrift::scenarios
