#ifndef TESTS_SCENARIOS_SCENARIO_H_
#define TESTS_SCENARIOS_SCENARIO_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tests/fakes/cluster.h"
#include "tests/scenarios/script_call.h"

namespace kingcupdrift::scenarios {

/// State that the verbs of one script work on.
struct Scenario {
  std::uint64_t seed = 1;
  /// Null until the script calls `cluster`.
  std::unique_ptr<fakes::Cluster> cluster;
};

/// One verb of the scripts.
struct ScriptFunction {
  std::string_view name;
  void (*run)(Scenario& scenario, ScriptCall& call);
};

/// Verbs by what they act on.
std::vector<ScriptFunction> ListClusterFunctions();
std::vector<ScriptFunction> ListCallerFunctions();
std::vector<ScriptFunction> ListPlatformFunctions();
std::vector<ScriptFunction> ListCheckFunctions();

/// Runs one script file; returns what failed, or empty text.
std::string RunScript(const std::string& path, std::uint64_t seed);

/// The seed from KINGCUPDRIFT_SEED, else `default_value`.
std::uint64_t SeedFromEnvironment(std::uint64_t default_value);

}  // namespace kingcupdrift::scenarios

#endif  // TESTS_SCENARIOS_SCENARIO_H_
