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

/// State of one running script, shared by the functions that it calls.
struct Scenario {
  std::uint64_t seed = 1;
  /// Null until the script calls `cluster`.
  std::unique_ptr<fakes::Cluster> cluster;
};

/// One function that scripts can call, under its name in Lua.
struct ScriptFunction {
  std::string_view name;
  void (*run)(Scenario& scenario, ScriptCall& call);
};

/// Functions that scripts can call, grouped by what they act on.
std::vector<ScriptFunction> ListClusterFunctions();
std::vector<ScriptFunction> ListCallerFunctions();
std::vector<ScriptFunction> ListPlatformFunctions();
std::vector<ScriptFunction> ListCheckFunctions();

/// Runs one script file over a cluster with this seed. Returns the message of
/// the first failed check or Lua error, or empty text if the script passed.
std::string RunScript(const std::string& path, std::uint64_t seed);

/// Returns the seed in the environment variable KINGCUPDRIFT_SEED, or
/// `default_value` if it is not set.
std::uint64_t SeedFromEnvironment(std::uint64_t default_value);

}  // namespace kingcupdrift::scenarios

#endif  // TESTS_SCENARIOS_SCENARIO_H_
