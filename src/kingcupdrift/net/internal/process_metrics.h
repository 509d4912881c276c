#ifndef KINGCUPDRIFT_NET_INTERNAL_PROCESS_METRICS_H_
#define KINGCUPDRIFT_NET_INTERNAL_PROCESS_METRICS_H_

#include <string>

#include "kingcupdrift/net/event_loop.h"
#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/tcp_peer_link.h"

namespace kingcupdrift {

/// The objects that the process's metrics are read from.
struct ProcessSources {
  const EventLoop& loop;
  const HttpClient& platform;
  const HttpClient& engine_control;
  /// Carries streams, cache transfers and calls of plain services.
  const HttpClient& engine_data;
  const TcpPeerLink& peers;
};

/// Formats metrics as Prometheus text: the largest CPU time of a loop
/// iteration, bytes and frames of the links, CPU time and peak resident memory.
std::string ProcessMetricsText(const ProcessSources& sources);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_PROCESS_METRICS_H_
