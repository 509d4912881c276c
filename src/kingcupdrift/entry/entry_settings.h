#ifndef KINGCUPDRIFT_ENTRY_ENTRY_SETTINGS_H_
#define KINGCUPDRIFT_ENTRY_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Settings of one entry process, from flags and environment variables.
struct EntrySettings {
  InstanceId instance;
  SiteId site;
  FailureDomain failure_domain;
  /// Listener for callers and operators.
  Endpoint caller_endpoint;
  /// Listener for peers.
  Endpoint peer_endpoint;
  Endpoint store_endpoint;
  Endpoint instance_list_endpoint;
  /// Peers to contact first, besides the platform's list.
  std::vector<Endpoint> seed_peers;
  /// Secret that peers and operators share; also keys resume tokens.
  std::string shared_secret;
  /// Lifetime of the answer of GET /v1/entries.
  Duration entries_lifetime = std::chrono::seconds(10);
  /// Longest wait for requests in progress after a stop was asked for.
  Duration drain_limit = std::chrono::minutes(11);
  /// Seed of the entry's randomness; 0 draws one from the system.
  std::uint64_t random_seed = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_ENTRY_SETTINGS_H_
