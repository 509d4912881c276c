#ifndef KINGCUPDRIFT_ROUTING_ROUTE_H_
#define KINGCUPDRIFT_ROUTING_ROUTE_H_

#include <cstdint>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// What a routing decision needs to know of a request.
struct RouteRequest {
  ServiceId service;
  AttemptId attempt;
  TokenCount prompt_tokens;
  TokenCount max_output_tokens;
  /// Sum of the service's and the workspace's priority class.
  int priority = 0;
  /// Chain of digests over the prompt's blocks.
  std::vector<std::uint64_t> block_digests;
  /// When the request reached this entry.
  MonotonicTime arrival;
  MonotonicTime deadline;
  /// Engines that already failed or declined this request.
  std::vector<EngineId> excluded;
};

/// Times expected of a request on one engine, counted from the dispatch.
struct RouteEstimate {
  /// Until the prefill begins.
  Duration wait{0};
  Duration time_to_first_token{0};
  /// Until the last token, if `max_output_tokens` are generated.
  Duration total{0};
  /// Summed delay of the requests that already wait at the engine.
  Duration inflicted_delay{0};
  /// Prompt tokens expected in the engine's prefix cache.
  TokenCount cached;
};

/// One engine of a route and the memory that the request needs there.
struct RouteMember {
  EngineAddress engine;
  TokenCount tokens;
};

/// A decision where a request runs.
struct Route {
  /// The leader, which gets the request, comes first. More than one member
  /// means an engine group, whose memory must be reserved before the dispatch.
  std::vector<RouteMember> members;
  /// Goes into `EngineStreamRequest::priority`.
  int engine_priority = 0;
  RouteEstimate estimate;

  bool is_group() const { return members.size() > 1; }
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_ROUTE_H_
