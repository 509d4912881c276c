#ifndef KINGCUPDRIFT_NET_INTERNAL_ENGINE_STREAM_H_
#define KINGCUPDRIFT_NET_INTERNAL_ENGINE_STREAM_H_

#include <memory>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

/// Sends `request` and reads the answer as an engine's events.
std::unique_ptr<EngineStream> CreateEngineStream(
    HttpClient& http,
    HttpRequest request,
    const AttemptId& attempt,
    EngineStreamObserver& observer);

/// A stream that fails with `error` on a later turn.
std::unique_ptr<EngineStream>
CreateFailedStream(Clock& clock, Error error, EngineStreamObserver& observer);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_ENGINE_STREAM_H_
