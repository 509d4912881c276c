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

inline constexpr std::uint16_t kAllHttpMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

/// Name of a libevent method, and the method of a name.
std::string HttpMethodName(evhttp_cmd_type method);
std::optional<evhttp_cmd_type> ParseHttpMethod(const std::string& name);

HeaderList ToHeaderList(const evkeyvalq* headers);
/// Adds headers; those with line breaks in them are left out.
void AddHeaders(evkeyvalq* target, const HeaderList& headers);

/// Copies a buffer's bytes, once, into a string with `kBodyPadding` spare bytes
/// behind it, and empties the buffer.
std::string TakeBytes(evbuffer* buffer);
/// Appends a reference to the slice's bytes, which keeps its owner alive.
void AddReference(evbuffer* buffer, const BodySlice& slice);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_HTTP_CONVERT_H_
