#ifndef KINGCUPDRIFT_NET_INTERNAL_HTTP_CALLER_SINK_H_
#define KINGCUPDRIFT_NET_INTERNAL_HTTP_CALLER_SINK_H_

#include <memory>

#include "kingcupdrift/entry/entry.h"
#include "kingcupdrift/net/http_server.h"

namespace kingcupdrift {

/// How an answer is written.
enum class AnswerForm {
  kStreamed,
  /// A stream whose beginning the caller already has.
  kResumed,
  kNonStreamed,
};

/// Ties a request's identifier, known only once the entry has taken the call,
/// to the sink that was handed over before.
using SharedRequestId = std::shared_ptr<RequestId>;

/// Sink that answers over `exchange`. It tells `entry` by the cell's identifier
/// when the caller goes away or has taken what was written.
std::unique_ptr<CallerSink> CreateHttpCallerSink(
    Entry& entry,
    const Clock& clock,
    std::unique_ptr<HttpExchange> exchange,
    AnswerForm form,
    SharedRequestId request);

/// Answers with a problem.
void RespondProblem(HttpExchange& exchange, const Problem& problem);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_HTTP_CALLER_SINK_H_
