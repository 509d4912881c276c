#ifndef KINGCUPDRIFT_FORWARDING_SERVING_CONFIG_H_
#define KINGCUPDRIFT_FORWARDING_SERVING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/routing/engine_timing.h"

namespace kingcupdrift {

/// States how often a request of a route may run.
enum class RetrySafety {
  /// The request may run any number of times.
  kIdempotent,
  /// The request may run once at most.
  kOnce,
};

/// The share of a route's requests that goes to one service.
struct ServiceShare {
  ServiceId service;
  int weight = 1;
};

/// Rules for the requests of one host below one path prefix.
struct RouteRule {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RetrySafety retry_safety = RetrySafety::kOnce;
  /// Answers are event streams, passed on as they arrive.
  bool is_streaming = false;
  /// Time from a request's arrival to the end of its answer; a stream that
  /// lasts longer is aborted. Callers may ask for less.
  Duration time_limit{0};
  /// Time to the answer, or to a stream's first event, that callers expect. No
  /// limit by itself: prompt placement uses it, and the answer timeout before a
  /// retry is computed with it. Attempts have timeouts only if a retry is
  /// possible.
  Duration target_latency{0};
  /// Time from arrival after which callers give up waiting for the first event.
  /// No timer runs: a prompt is refused if its predicted first event would come
  /// later even with ideal placement, and waits if it would come later at the
  /// present load. Applies until a stream has begun, and only to prompts at
  /// services with an engine timing; to those on routes that don't stream as
  /// well.
  Duration first_event_timeout{0};
  /// Longest event gap, the time between two events of a stream, that callers
  /// accept. No limit by itself: prompt placement keeps to it, and the stall
  /// timeout before a retry is computed with it.
  Duration max_event_gap{0};
  /// Most attempts of one request. Attempts that certainly didn't run don't
  /// count.
  int max_attempts = 1;
  /// Priority of the requests, from 0, the most urgent, to 9; absent if none is
  /// set.
  std::optional<int> priority;
  /// Callers need no valid key, even if `needs_key` is set. A request without a
  /// valid key belongs to no workspace.
  bool allows_anonymous = false;
  /// Has at least one element; all weights are above zero.
  std::vector<ServiceShare> shares;
};

struct ServiceSpec {
  /// Timing model of the service's engines. Present for model engines: prompts
  /// are then placed by predicted times.
  std::optional<EngineTiming> engine;
  /// Time for which an engine is cold after its start.
  Duration cold_time{0};
  /// Requests a second that a cold engine takes from all callers together. No
  /// limit if this or `cold_time` is not above zero.
  double cold_requests_per_second = 0;
};

/// Limits on what callers send.
struct CallerLimits {
  ByteCount max_header_bytes{16'384};
  ByteCount max_body_bytes{4'194'304};
  /// Longest time to receive a request's header, as configured. Forwarding
  /// itself doesn't apply it.
  Duration header_timeout = std::chrono::seconds(3);
  /// Longest time that a caller's connection may be idle, as configured.
  /// Forwarding itself doesn't apply it; the server of the connections may add
  /// a margin.
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One version of the configuration that operators set.
struct ServingConfig {
  Generation version;
  std::vector<RouteRule> routes;
  std::map<ServiceId, ServiceSpec> services;
  CallerLimits limits;
  /// Callers need a valid key, except on routes with `allows_anonymous`.
  bool needs_key = false;
  std::map<std::string, WorkspaceId> workspace_of_key;
  /// Priorities of workspaces that have one, which replace those of routes.
  std::map<WorkspaceId, int> workspace_priorities;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_SERVING_CONFIG_H_
