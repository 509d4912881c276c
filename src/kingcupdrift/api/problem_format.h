#ifndef KINGCUPDRIFT_API_PROBLEM_FORMAT_H_
#define KINGCUPDRIFT_API_PROBLEM_FORMAT_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The HTTP response that reports a problem.
struct ProblemAnswer {
  int status = 500;
  HeaderList headers;
  std::string body;
};

/// Name of a problem type in problem bodies, such as "queue_full". Names never
/// change.
std::string_view GetProblemName(ProblemType type);
/// HTTP status for a problem. A draining entry (serving process, kLeaving)
/// answers 307 if the problem names another entry to redirect to, else 503.
int ProblemStatus(const Problem& problem);

/// Formats `problem` as application/problem+json. A redirect carries Location,
/// made of the other entry's address and `target`, the request's path and
/// query. Any other problem carries Retry-After if it states a delay or its
/// status is 429, 503 or 504: whole seconds, rounded up, at least 1.
ProblemAnswer FormatProblem(const Problem& problem, std::string_view target);

/// Formats the last event of a stream that fails after its start.
std::string FormatProblemEvent(const Problem& problem);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_PROBLEM_FORMAT_H_
