#ifndef KINGCUPDRIFT_NET_INTERNAL_HTTP_CONVERT_H_
#define KINGCUPDRIFT_NET_INTERNAL_HTTP_CONVERT_H_

#include <event2/http.h>

#include <cstdint>
#include <optional>
#include <string>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

struct evbuffer;
struct evkeyvalq;

namespace kingcupdrift {

/// The methods that the server accepts and the client sends; TRACE and CONNECT
/// are not among them.
inline constexpr std::uint16_t kSupportedHttpMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

/// Convert between libevent's methods and their names. An unknown method gives
/// "UNKNOWN", an unknown name no method.
std::string GetHttpMethodName(evhttp_cmd_type method);
std::optional<evhttp_cmd_type> ParseHttpMethod(const std::string& name);

HeaderList ToHeaderList(const evkeyvalq* headers);
/// Adds headers; libevent leaves out those that contain line breaks.
void AddHeaders(evkeyvalq* target, const HeaderList& headers);

/// Copies a buffer's bytes into a string and empties the buffer. The string has
/// `kBodyPadding` bytes of spare capacity.
std::string TakeBytes(evbuffer* buffer);
/// Appends a slice's bytes by reference; the buffer keeps their owner alive.
void AddReference(evbuffer* buffer, const BodySlice& slice);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_HTTP_CONVERT_H_
