#ifndef KINGCUPDRIFT_NET_INTERNAL_LIBEVENT_HANDLES_H_
#define KINGCUPDRIFT_NET_INTERNAL_LIBEVENT_HANDLES_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <algorithm>
#include <chrono>
#include <memory>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Frees a libevent object with the function for its type.
struct LibeventDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
  void operator()(event* ev) const { event_free(ev); }
  void operator()(evbuffer* buf) const { evbuffer_free(buf); }
  void operator()(bufferevent* bev) const { bufferevent_free(bev); }
  void operator()(evhttp* http) const { evhttp_free(http); }
  void operator()(evhttp_connection* con) const { evhttp_connection_free(con); }
  void operator()(evconnlistener* it) const { evconnlistener_free(it); }
};

using EventBaseHandle = std::unique_ptr<event_base, LibeventDeleter>;
using EventHandle = std::unique_ptr<event, LibeventDeleter>;
using BufferHandle = std::unique_ptr<evbuffer, LibeventDeleter>;
using BuffereventHandle = std::unique_ptr<bufferevent, LibeventDeleter>;
using HttpHandle = std::unique_ptr<evhttp, LibeventDeleter>;
using HttpConnectionHandle =
    std::unique_ptr<evhttp_connection, LibeventDeleter>;
using ListenerHandle = std::unique_ptr<evconnlistener, LibeventDeleter>;

/// Converts a delay; a negative one becomes zero.
inline timeval ToTimeval(Duration delay) {
  constexpr Duration::rep kMicrosPerSecond = 1'000'000;
  const Duration::rep micros = std::max<Duration::rep>(delay.count(), 0);
  timeval out{};
  out.tv_sec = micros / kMicrosPerSecond;
  out.tv_usec = micros % kMicrosPerSecond;
  return out;
}

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_LIBEVENT_HANDLES_H_
