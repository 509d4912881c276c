#ifndef KINGCUPDRIFT_CONFIG_SITE_CONFIG_H_
#define KINGCUPDRIFT_CONFIG_SITE_CONFIG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// kModel: a model service; a request names its model. kPlain: any other HTTP
/// service; the path prefix of a request selects it.
enum class ServiceKind { kModel, kPlain };

/// Routing options and limits of one service.
struct ServiceConfig {
  ServiceId id;
  ServiceKind kind = ServiceKind::kModel;
  /// Model name in callers' requests; empty for plain services.
  std::string model;
  /// Path prefix of callers' requests; empty for model services.
  std::string path_prefix;
  /// Routes, each as "METHOD /path/prefix", whose calls are non-idempotent and
  /// need an idempotency key. Each path is complete, so it begins with
  /// `path_prefix`.
  std::vector<std::string> non_idempotent_routes;
  /// Time limit of a request that sets none.
  Duration default_time_limit = std::chrono::seconds(60);
  /// Longest time limit of a request; longer ones are shortened to this.
  Duration max_time_limit = std::chrono::seconds(600);
  /// Weight of a request's own time to first token in the routing cost.
  double own_time_weight = 1.0;
  /// Weight, in the routing cost, of the delay that a request adds to those
  /// already on the engine.
  double inflicted_delay_weight = 1.0;
  /// Retry budget: retries allowed, as a share of first tries.
  double retry_ratio = 0.1;
  /// Most requests of the service that may wait at one entry (serving process);
  /// further ones are refused.
  std::uint32_t max_queued = 1000;
  /// Largest share of the service's engines that may be ejected as outliers.
  double max_ejected_share = 0.3;
  /// True if the option `hedging` is true. Nothing but the configuration reads
  /// it: requests are not hedged.
  bool is_hedging_enabled = false;
  /// Added to the workspace's priority; waiting requests with a higher sum are
  /// dispatched first.
  int priority = 0;
  /// Output tokens assumed for a request that sets no maximum.
  TokenCount default_output_tokens{256};
  /// Retention time of the result of a non-idempotent call.
  Duration idempotency_window = std::chrono::hours(24);
  /// Name of the model adapter that engines load, sent to them in placement
  /// orders; empty for none. Only for model services.
  std::string adapter;
  /// Version of the model that engines load, sent to them in placement orders;
  /// may be empty. Only for model services.
  std::string version;
};

/// One engine of a service.
struct EngineConfig {
  EngineId id;
  ServiceId service;
  Endpoint endpoint;
  FailureDomain failure_domain;
  /// Set by the operator: true if the engine refuses orders with a lower
  /// fencing number than it has seen.
  bool is_fencing_enforced = false;
  /// Memory for KV cache, in tokens, as configured; 0 if it is not set. The
  /// engine's reports do not change it.
  TokenCount memory;
};

/// A customer of a site.
struct WorkspaceConfig {
  WorkspaceId id;
  /// SHA-256 of the workspace's token, in hexadecimal.
  std::string token_digest;
  /// Weight in the fair queueing among workspaces of the same priority.
  double weight = 1.0;
  /// Rate limit over all entries of the site.
  double requests_per_second = 100;
  /// Rate limit over all entries of the site, on prompt tokens plus the
  /// request's maximum of output tokens.
  double tokens_per_second = 1e6;
  /// Added to the service's priority.
  int priority = 0;
  /// Services that the workspace may call; empty means all.
  std::set<ServiceId> services;
};

/// The merged, checked configuration of one site.
struct SiteConfig {
  SiteId site;
  Generation generation;
  /// Digest of the approved head record.
  std::string digest;
  /// Enabled services of this site.
  std::map<ServiceId, ServiceConfig> services;
  /// Enabled engines of these services.
  std::map<EngineId, EngineConfig> engines;
  /// Enabled workspaces of this site.
  std::map<WorkspaceId, WorkspaceConfig> workspaces;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_SITE_CONFIG_H_
