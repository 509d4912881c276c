#ifndef KINGCUPDRIFT_BASE_OUTCOME_H_
#define KINGCUPDRIFT_BASE_OUTCOME_H_

#include <string_view>

namespace kingcupdrift {

/// How a request ended, as reported to its caller.
enum class Outcome {
  /// The complete answer was delivered.
  kCompleted,
  /// The request did not run and will not run.
  kNotRun,
  /// The request ran and ended without a complete answer.
  kFailed,
  /// The request may have run; it will not be run again.
  kUnknown,
};

/// "completed", "not_run", "failed" or "unknown".
std::string_view GetOutcomeName(Outcome outcome);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_OUTCOME_H_
