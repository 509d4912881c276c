#ifndef KINGCUPDRIFT_NET_INTERNAL_HTTP_CALLER_SINK_H_
#define KINGCUPDRIFT_NET_INTERNAL_HTTP_CALLER_SINK_H_

#include <memory>

#include "kingcupdrift/entry/entry.h"
#include "kingcupdrift/net/http_server.h"

namespace kingcupdrift {

/// How a response to a caller is written.
enum class AnswerForm {
  kStreamed,
  /// A stream whose first part the caller has already received.
  kResumed,
  kNonStreamed,
};

/// Holds a request's ID. It is empty until the call to the entry
/// (the serving process) returns the ID,
/// since the sink has to be created before that call.
using SharedRequestId = std::shared_ptr<RequestId>;

/// Creates a sink that responds over `exchange`. Calls
/// Entry::HandleCallerDisconnect with the ID in `request` if the caller closes
/// the connection, and Entry::HandleCallerWritable whenever all chunks
/// written so far were sent.
std::unique_ptr<CallerSink> CreateHttpCallerSink(
    Entry& entry,
    const Clock& clock,
    std::unique_ptr<HttpExchange> exchange,
    AnswerForm form,
    SharedRequestId request);

/// Ends the exchange with an error response.
void RespondProblem(HttpExchange& exchange, const Problem& problem);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_HTTP_CALLER_SINK_H_
