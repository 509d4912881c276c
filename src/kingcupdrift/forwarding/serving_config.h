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

/// What may be repeated of a route's requests.
enum class RetrySafety {
  /// May run any number of times.
  kIdempotent,
  /// May run once at most.
  kOnce,
};

/// A share of a route's requests that goes to one service.
struct ServiceShare {
  ServiceId service;
  int weight = 1;
};

/// Requests of one host below one path prefix.
struct RouteRule {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RetrySafety retry_safety = RetrySafety::kOnce;
  /// Answers are event streams, passed on as they arrive.
  bool is_streaming = false;
  /// Longest time that a caller is kept waiting.
  Duration time_limit{0};
  /// Time to the answer, or to its first event, that callers expect.
  Duration target_latency{0};
  /// Callers of a stream give up if its first event takes longer.
  Duration first_event_timeout{0};
  /// Longest pause between events that callers accept.
  Duration max_event_gap{0};
  /// Most targets that one request may be sent to.
  int max_attempts = 1;
  bool allows_anonymous = false;
  /// At least one; weights above zero.
  std::vector<ServiceShare> shares;
};

struct ServiceSpec {
  /// Present for model engines.
  std::optional<EngineTiming> engine;
};

/// Limits on what callers send.
struct CallerLimits {
  ByteCount max_header_bytes{16'384};
  ByteCount max_body_bytes{4'194'304};
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// Everything that operators decide, as of one version.
struct ServingConfig {
  Generation version;
  std::vector<RouteRule> routes;
  std::map<ServiceId, ServiceSpec> services;
  CallerLimits limits;
  /// Whether callers need a key.
  bool needs_key = false;
  std::map<std::string, WorkspaceId> workspace_of_key;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_SERVING_CONFIG_H_
