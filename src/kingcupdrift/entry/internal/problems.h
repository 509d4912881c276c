#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_PROBLEMS_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_PROBLEMS_H_

#include <string>

#include "kingcupdrift/admission/admission.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/idempotency.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Wait suggested after faults whose end cannot be predicted.
inline constexpr Duration kRetryAfterFault = std::chrono::seconds(1);

/// A refusal before anything ran.
Problem MakeNotRunProblem(ProblemType type,
                          std::string detail,
                          Duration retry_after = kRetryAfterFault);

/// Translates the answers of admission, routing and the journal.
Problem ProblemFromRefusal(const Refusal& refusal);
Problem ProblemFromRouteError(const Error& error, Duration drain_time);
/// `status` is neither kStarted nor kAlreadyCompleted.
Problem ProblemFromBegin(BeginStatus status);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_PROBLEMS_H_
