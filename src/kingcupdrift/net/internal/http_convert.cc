#include "kingcupdrift/net/internal/http_convert.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <memory>
#include <utility>
#include <vector>

#include "kingcupdrift/net/http_server.h"

namespace kingcupdrift {
namespace {

struct MethodName {
  evhttp_cmd_type method;
  const char* name;
};

constexpr std::array<MethodName, 7> kMethodNames = {{
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_PATCH, "PATCH"},
}};

// Most buffer segments copied at a time.
constexpr int kMaxSegments = 64;

void DeleteOwner(const void*, std::size_t, void* owner) {
  delete static_cast<SharedBytes*>(owner);
}

}  // namespace

std::string GetHttpMethodName(evhttp_cmd_type method) {
  for (const MethodName& it : kMethodNames) {
    if (it.method == method) {
      return it.name;
    }
  }
  return "UNKNOWN";
}

std::optional<evhttp_cmd_type> ParseHttpMethod(const std::string& name) {
  for (const MethodName& it : kMethodNames) {
    if (name == it.name) {
      return it.method;
    }
  }
  return std::nullopt;
}

HeaderList ToHeaderList(const evkeyvalq* headers) {
  HeaderList out;
  for (const evkeyval* it = headers->tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    out.emplace_back(it->key, it->value);
  }
  return out;
}

void AddHeaders(evkeyvalq* target, const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    evhttp_add_header(target, name.c_str(), value.c_str());
  }
}

std::string TakeBytes(evbuffer* buffer) {
  std::string out;
  out.reserve(evbuffer_get_length(buffer) + HttpExchange::kBodyPadding);
  std::array<evbuffer_iovec, kMaxSegments> segments{};
  while (evbuffer_get_length(buffer) > 0) {
    const int count = std::min(
        kMaxSegments,
        evbuffer_peek(buffer, -1, nullptr, segments.data(), kMaxSegments));
    const std::size_t before = out.size();
    for (int i = 0; i < count; ++i) {
      out.append(static_cast<const char*>(segments[i].iov_base),
                 segments[i].iov_len);
    }
    evbuffer_drain(buffer, out.size() - before);
  }
  return out;
}

void AddReference(evbuffer* buffer, const BodySlice& slice) {
  if (slice.bytes.empty()) {
    return;
  }
  auto owner = std::make_unique<SharedBytes>(slice.owner);
  if (evbuffer_add_reference(buffer, slice.bytes.data(), slice.bytes.size(),
                             &DeleteOwner, owner.get()) == 0) {
    // `DeleteOwner` deletes it when the buffer is done with the bytes.
    static_cast<void>(owner.release());
  }
}

}  // namespace kingcupdrift
