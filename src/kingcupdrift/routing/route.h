#ifndef KINGCUPDRIFT_ROUTING_ROUTE_H_
#define KINGCUPDRIFT_ROUTING_ROUTE_H_

#include <cstdint>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The properties of a request that a routing decision depends on.
struct RouteRequest {
  ServiceId service;
  AttemptId attempt;
  TokenCount prompt_tokens;
  TokenCount max_output_tokens;
  /// Sum of the service's and the workspace's priority class. A higher sum runs
  /// earlier.
  int priority = 0;
  /// Digest of each block of the prompt, chained: it covers all earlier blocks.
  std::vector<std::uint64_t> block_digests;
  /// Time when the request reached this entry (the serving process).
  MonotonicTime arrival;
  /// Time by which the answer must be complete; default value: no deadline.
  MonotonicTime deadline;
  /// Engines that have failed or declined this request.
  std::vector<EngineId> excluded;
};

/// Estimated times of a request on one engine, counted from the dispatch.
struct RouteEstimate {
  /// Time until the prefill begins.
  Duration wait{0};
  Duration time_to_first_token{0};
  /// Time until the last token, if `max_output_tokens` are generated.
  Duration total{0};
  /// Sum of the delays that the request causes to those that already wait at
  /// the engine and would run after it.
  Duration inflicted_delay{0};
  /// Prompt tokens in the engine's cache according to the prefix index. The
  /// times were computed with this number multiplied by the learned accuracy of
  /// such predictions.
  TokenCount cached;
};

/// One engine of a route and the memory that the request needs there.
struct RouteMember {
  EngineAddress engine;
  TokenCount tokens;
};

/// The engine or engine group chosen for a request.
struct Route {
  /// The leader, which gets the request, comes first. More than one member
  /// means an engine group, whose memory must be reserved before the dispatch.
  std::vector<RouteMember> members;
  /// Value of `EngineStreamRequest::priority`; higher runs first.
  int engine_priority = 0;
  RouteEstimate estimate;

  bool is_group() const { return members.size() > 1; }
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_ROUTE_H_
