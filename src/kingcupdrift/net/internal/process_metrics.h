#ifndef KINGCUPDRIFT_NET_INTERNAL_PROCESS_METRICS_H_
#define KINGCUPDRIFT_NET_INTERNAL_PROCESS_METRICS_H_

#include <string>

#include "kingcupdrift/net/event_loop.h"
#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/tcp_peer_link.h"

namespace kingcupdrift {

/// What the process's own metrics are read from.
struct ProcessSources {
  const EventLoop& loop;
  const HttpClient& platform;
  const HttpClient& engine_control;
  const HttpClient& engine_data;
  const TcpPeerLink& peers;
};

/// Prometheus text: loop stall, control traffic, processor time and memory.
std::string ProcessMetricsText(const ProcessSources& sources);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_PROCESS_METRICS_H_
