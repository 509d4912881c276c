#ifndef KINGCUPDRIFT_CONFIG_SITE_CONFIG_H_
#define KINGCUPDRIFT_CONFIG_SITE_CONFIG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

enum class ServiceKind { kModel, kPlain };

/// How a service's requests are routed and limited.
struct ServiceConfig {
  ServiceId id;
  ServiceKind kind = ServiceKind::kModel;
  /// Model name that callers write; empty for plain services.
  std::string model;
  /// Path prefix that callers use; empty for model services.
  std::string path_prefix;
  /// Paths below `path_prefix`, each as "METHOD /path/prefix", whose calls are
  /// non-idempotent and need an idempotency key.
  std::vector<std::string> non_idempotent_routes;
  Duration default_time_limit = std::chrono::seconds(60);
  Duration max_time_limit = std::chrono::seconds(600);
  /// Weight of a request's own time to first token in the routing cost.
  double own_time_weight = 1.0;
  /// Weight of the delay it inflicts on requests already there.
  double inflicted_delay_weight = 1.0;
  /// Retries allowed, as a share of first tries.
  double retry_ratio = 0.1;
  /// Requests that may wait at one entry.
  std::uint32_t max_queued = 1000;
  /// Largest share of engines that may be ejected as outliers.
  double max_ejected_share = 0.3;
  bool is_hedging_enabled = false;
  int priority = 0;
  TokenCount default_output_tokens{256};
  /// How long the result of a non-idempotent call is kept.
  Duration idempotency_window = std::chrono::hours(24);
  /// What engines shall have loaded; sent to them as placement orders.
  std::string adapter;
  std::string version;
};

/// One engine of a service.
struct EngineConfig {
  EngineId id;
  ServiceId service;
  Endpoint endpoint;
  FailureDomain failure_domain;
  /// Refuses orders with an old fencing number.
  bool is_fencing_enforced = false;
  /// Memory for KV cache, in tokens; 0 until the engine reports it.
  TokenCount memory;
};

/// A customer of a site.
struct WorkspaceConfig {
  WorkspaceId id;
  /// SHA-256 of the workspace's token, in hexadecimal.
  std::string token_digest;
  double weight = 1.0;
  double requests_per_second = 100;
  double tokens_per_second = 1e6;
  int priority = 0;
  /// Services it may call; empty means all.
  std::set<ServiceId> services;
};

/// The merged, checked configuration of one site.
struct SiteConfig {
  SiteId site;
  Generation generation;
  /// Digest of the approved head record it came from.
  std::string digest;
  std::map<ServiceId, ServiceConfig> services;
  std::map<EngineId, EngineConfig> engines;
  std::map<WorkspaceId, WorkspaceConfig> workspaces;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_SITE_CONFIG_H_
