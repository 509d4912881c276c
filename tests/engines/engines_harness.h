#ifndef TESTS_ENGINES_ENGINES_HARNESS_H_
#define TESTS_ENGINES_ENGINES_HARNESS_H_

#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/engines/engines.h"
#include "tests/fakes/engine_fleet.h"
#include "tests/fakes/fake_engine_client.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {

constexpr std::int64_t kEngineMemory = 1000;

/// Engines e0, e1, ... with memory for 1000 tokens each, and a manual clock.
class EnginesHarness {
 public:
  explicit EnginesHarness(int engines, bool is_fencing_enforced = false);

  std::vector<EngineAddress> Addresses() const;
  /// Group members with `tokens` on each of the given engines.
  std::vector<GroupMember> Members(const std::vector<int>& engines,
                                   std::int64_t tokens) const;
  fakes::EngineModel& model(int engine);
  EngineId Id(int engine) const;
  /// Tokens held on all engines.
  std::int64_t Held();

  fakes::ManualClock clock;
  SeededRandom random;
  fakes::EngineFleet fleet;

 private:
  int engines_;
};

/// Options of an engine client that acts for the entry `instance`.
fakes::FakeEngineClientOptions OwnedBy(const std::string& instance);

}  // namespace kingcupdrift

#endif  // TESTS_ENGINES_ENGINES_HARNESS_H_
