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
  /// Secret that authenticates peers, operators and resume tokens.
  std::string shared_secret;
  /// Time for which callers may cache the answer of GET /v1/entries. A drain
  /// takes at least this long.
  Duration entries_lifetime = std::chrono::seconds(10);
  /// Longest drain. After it the process exits and cuts off the requests still
  /// in progress; `Entry` itself does not enforce it.
  Duration drain_limit = std::chrono::minutes(11);
  /// Bytes that requests of clients may take together before they are read
  /// whole; 0 means no bound. `Entry` itself does not enforce it.
  ByteCount max_client_bytes{1'024'000'000};
  /// Seed of the entry's random numbers; 0 takes a seed from the system.
  std::uint64_t random_seed = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_ENTRY_SETTINGS_H_
