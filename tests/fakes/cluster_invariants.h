#ifndef TESTS_FAKES_CLUSTER_INVARIANTS_H_
#define TESTS_FAKES_CLUSTER_INVARIANTS_H_

#include <string>
#include <vector>

#include "tests/fakes/cluster.h"

namespace kingcupdrift::fakes {

/// Checks of what must always hold. Each returns the faults found, as text.
std::vector<std::string> CheckTimeLimits(Cluster& cluster);
/// Only after every call has ended and the sweepers had their time.
std::vector<std::string> CheckNoMemoryHeld(Cluster& cluster);
std::vector<std::string> CheckWholeAnswers(Cluster& cluster);
std::vector<std::string> CheckNotRunOutcomes(Cluster& cluster);
std::vector<std::string> CheckAtMostOnce(Cluster& cluster);
std::vector<std::string> CheckNoAdmissionWhileDraining(Cluster& cluster);
/// Every live entry that is not cut off has the approved generation.
std::vector<std::string> CheckApprovedGeneration(Cluster& cluster);

/// All of them, and the faults gathered on the way.
std::vector<std::string> CheckAll(Cluster& cluster);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_CLUSTER_INVARIANTS_H_
