#ifndef KINGCUPDRIFT_NET_INTERNAL_ENGINE_STREAM_H_
#define KINGCUPDRIFT_NET_INTERNAL_ENGINE_STREAM_H_

#include <memory>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

/// Sends `request` and parses the response as an engine's events. `http` and
/// `observer` must outlive the stream.
std::unique_ptr<EngineStream> CreateEngineStream(
    HttpClient& http,
    HttpRequest request,
    const AttemptId& attempt,
    EngineStreamObserver& observer);

/// Creates a stream that fails with `error` in a later loop iteration.
std::unique_ptr<EngineStream>
CreateFailedStream(Clock& clock, Error error, EngineStreamObserver& observer);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_ENGINE_STREAM_H_
