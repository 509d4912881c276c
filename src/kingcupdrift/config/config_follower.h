#ifndef KINGCUPDRIFT_CONFIG_CONFIG_FOLLOWER_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_FOLLOWER_H_

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/site_config.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Intervals and limits of a follower.
struct ConfigFollowerOptions {
  /// Longest interval of reads of the head, which find what a silent watch
  /// missed; each is jittered down.
  Duration read_interval = std::chrono::seconds(5);
  /// Longest time for the records and documents of one head.
  Duration fetch_limit = std::chrono::seconds(4);
  /// First and longest delay after a store fault; each delay is jittered.
  Duration min_backoff = std::chrono::milliseconds(250);
  Duration max_backoff = std::chrono::seconds(5);
  /// Time that the store has to bring a head which a peer reported, and time
  /// between requests to peers.
  Duration peer_request_interval = std::chrono::milliseconds(750);
  /// Head records kept for peers that are behind.
  std::size_t max_records = 256;
};

/// Counters for metrics and tests.
struct ConfigFollowerCounts {
  std::uint64_t applied = 0;
  /// Reads and watches of the store that failed.
  std::uint64_t store_faults = 0;
  /// Heads and peer replies whose chain does not connect to the one in force.
  std::uint64_t rejected_chains = 0;
  /// Approved documents that this program cannot read.
  std::uint64_t invalid_documents = 0;
  std::uint64_t peer_requests = 0;
};

/// Keeps the newest approved configuration of one site in force. It learns of
/// new heads from the store and from peers, and takes only a higher generation
/// whose hash chain connects to the one in force. It never goes back, and keeps
/// serving the last one during a store outage. Memory is bounded by the
/// documents in force and `max_records` records.
class ConfigFollower {
 public:
  using SendConfigRequest =
      std::function<void(const Endpoint&, const ConfigRequestMessage&)>;
  using AppliedSignal = sigc::signal<void(const SiteConfig&)>;

  ConfigFollower(const SiteId& site,
                 Clock& clock,
                 Random& random,
                 PlatformStore& store,
                 SendConfigRequest ask_peer,
                 const ConfigFollowerOptions& options = {});
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  /// Begins to read and watch the store.
  void Start();

  /// A peer reported its head; asks it when that head is newer.
  void OnPeerHead(Generation generation,
                  const std::string& digest,
                  const Endpoint& peer);
  /// Answers a peer whose generation in force is `request.generation` with the
  /// records above it and the documents that may differ.
  ConfigReplyMessage BuildConfigReply(
      const ConfigRequestMessage& request) const;
  void OnConfigReply(const ConfigReplyMessage& reply);

  /// The configuration in force; null before the first.
  const SiteConfig* current() const;
  /// Generation 0 and an empty digest before the first.
  Generation generation() const;
  const std::string& digest() const;
  WallTime in_force_since() const;
  const ConfigFollowerCounts& counts() const;

  /// Emitted after a configuration came into force.
  AppliedSignal& signal_applied();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_FOLLOWER_H_
