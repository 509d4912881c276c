#ifndef TESTS_FAKES_CLUSTER_INVARIANTS_H_
#define TESTS_FAKES_CLUSTER_INVARIANTS_H_

#include <string>
#include <vector>

#include "tests/fakes/cluster.h"

namespace kingcupdrift::fakes {

// Checks of the invariants. Each returns the violations found, as text.

/// Every call ends within its time limit, unless it was interrupted or its
/// entry (serving process) was frozen.
std::vector<std::string> CheckTimeLimits(Cluster& cluster);
/// No engine holds memory. Valid only once every call has ended and the entries
/// have released leftover reservations.
std::vector<std::string> CheckNoMemoryHeld(Cluster& cluster);
/// No call ends twice, and no answer has tokens lost, repeated or of another
/// request.
std::vector<std::string> CheckWholeAnswers(Cluster& cluster);
/// No request with the outcome not_run ran. Skips orders that share a key with
/// another call, resumed calls, and calls without a request identifier.
std::vector<std::string> CheckNotRunOutcomes(Cluster& cluster);
/// No idempotency key ran twice.
std::vector<std::string> CheckAtMostOnce(Cluster& cluster);
/// Requests from 3 s after the start of a drain are refused with the problem
/// kLeaving; any other end counts as admitted. Skips resumed calls and calls
/// whose entry was frozen.
std::vector<std::string> CheckNoAdmissionWhileDraining(Cluster& cluster);
/// Every entry that is not frozen has the approved generation. Checks nothing
/// within 7 s of the last approval.
std::vector<std::string> CheckApprovedGeneration(Cluster& cluster);

/// Runs every check; includes the violations recorded during the run. Valid
/// only at the end of a run, as CheckNoMemoryHeld is.
std::vector<std::string> CheckAll(Cluster& cluster);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_CLUSTER_INVARIANTS_H_
