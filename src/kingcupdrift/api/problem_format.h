#ifndef KINGCUPDRIFT_API_PROBLEM_FORMAT_H_
#define KINGCUPDRIFT_API_PROBLEM_FORMAT_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// A problem as an HTTP answer.
struct ProblemAnswer {
  int status = 500;
  HeaderList headers;
  std::string body;
};

/// Stable name such as "queue_full".
std::string_view GetProblemName(ProblemType type);
/// Status code of a problem type. A leaving entry answers 307 if the problem
/// names another entry, else 503.
int ProblemStatus(const Problem& problem);

/// application/problem+json with Retry-After and Location where they apply.
/// `target` is the request's path and query, for the redirect.
ProblemAnswer FormatProblem(const Problem& problem, std::string_view target);

/// The event that ends a stream which fails after its start.
std::string FormatProblemEvent(const Problem& problem);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_PROBLEM_FORMAT_H_
