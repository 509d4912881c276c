#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "tests/scenarios/random_walk.h"
#include "tests/scenarios/scenario.h"

namespace kingcupdrift::scenarios {
namespace {

constexpr std::uint64_t kSeeds = 200;

void CheckSeed(std::uint64_t seed, bool is_logged) {
  RandomWalk walk(seed);
  const std::vector<std::string> violations = walk.Run();
  std::string text;
  for (const std::string& fault : violations) {
    text += fault + "\n";
  }
  INFO("KINGCUPDRIFT_SEED=", seed, is_logged ? "\n" + walk.log() : "");
  CHECK(text == "");
}

TEST_CASE("Random sequences of faults hold every invariant [walk]") {
  SetLogLevel(LogLevel::kError);
  const std::uint64_t selected_seed = SeedFromEnvironment(0);
  if (selected_seed != 0) {
    CheckSeed(selected_seed, /*is_logged=*/true);
    return;
  }
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CheckSeed(seed, /*is_logged=*/false);
  }
}

}  // namespace
}  // namespace kingcupdrift::scenarios
