#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_PROBLEMS_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_PROBLEMS_H_

#include <string>

#include "kingcupdrift/admission/admission.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/idempotency.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Advised retry delay of a problem that sets no other, such as a fault whose
/// end cannot be predicted.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

/// Makes a problem with outcome kNotRun. Code that knows that the request may
/// have run sets another outcome afterwards.
Problem MakeNotRunProblem(ProblemType type,
                          std::string detail,
                          Duration retry_after = kDefaultRetryAfter);

/// Converts a refusal by admission control.
Problem ProblemFromRefusal(const Refusal& refusal);
/// Converts a routing error. `backlog_time`: time until the service's backlog
/// is worked off; advised as the retry delay, but not less than
/// kDefaultRetryAfter.
Problem ProblemFromRouteError(const Error& error, Duration backlog_time);
/// Converts a result of the journal. `status` is neither kStarted nor
/// kAlreadyCompleted.
Problem ProblemFromBegin(BeginStatus status);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_PROBLEMS_H_
