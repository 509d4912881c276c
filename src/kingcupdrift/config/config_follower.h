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

/// Intervals, timeouts and limits of a ConfigFollower.
struct ConfigFollowerOptions {
  /// Longest wait between reads of the head key. These reads find changes for
  /// which the watch sent no event. Each wait is random, from half of this to
  /// all of it.
  Duration read_interval = std::chrono::seconds(5);
  /// Timeout for fetching the records and documents of one head.
  Duration fetch_limit = std::chrono::seconds(4);
  /// First and longest backoff before the head is read again after a store
  /// fault. The backoff doubles with each fault and is jittered. Fetches of
  /// records and documents have their own backoff.
  Duration min_backoff = std::chrono::milliseconds(250);
  Duration max_backoff = std::chrono::seconds(5);
  /// Longest wait before each request to a peer; each wait is random, from half
  /// of this to all of it, and the interval doubles after a rejected or empty
  /// reply. The first wait lets the store deliver the head by itself.
  Duration peer_request_interval = std::chrono::milliseconds(750);
  /// Head records kept to answer peers that are behind. A peer's reply with
  /// more records is ignored.
  std::size_t max_records = 256;
};

/// Counters of a ConfigFollower, for metrics and tests.
struct ConfigFollowerCounts {
  /// Configurations put in force.
  std::uint64_t applied = 0;
  /// Failed or malformed reads of the head key, interrupted watches, and
  /// fetches that failed for another reason than kProtocol. A fetch counts
  /// once, however often it retried.
  std::uint64_t store_faults = 0;
  /// Heads, fetches and peer replies rejected as malformed or inconsistent,
  /// counted each time they are received: a record in a reply or fetch is
  /// malformed, the hash chain does not connect, the digest differs at the same
  /// generation, the store's head went back to an older generation (not counted
  /// within 10 s after a configuration was applied), or a text does not match
  /// its digest. A malformed head read from the head key counts as a store
  /// fault; one in a watch event is ignored without a count.
  std::uint64_t rejected_chains = 0;
  /// Attempts to apply an approved head whose documents do not pass this
  /// program's checks, for example because they use newer options.
  std::uint64_t invalid_documents = 0;
  /// Requests sent to peers.
  std::uint64_t peer_requests = 0;
};

/// Keeps the newest approved configuration of one site in force. It receives
/// heads from the store and from peers. The first head is trusted without a
/// check; later ones are applied only if their generation is higher and their
/// hash chain connects to the newest verified record. The generation in force
/// never decreases, and during a store outage the last configuration stays in
/// force. Memory is bounded by the documents in force and `max_records`
/// records.
class ConfigFollower {
 public:
  using SendConfigRequest =
      std::function<void(const Endpoint&, const ConfigRequestMessage&)>;
  using AppliedSignal = sigc::signal<void(const SiteConfig&)>;

  ConfigFollower(const SiteId& site,
                 Clock& clock,
                 Random& random,
                 PlatformStore& store,
                 SendConfigRequest send_config_request,
                 const ConfigFollowerOptions& options = {});
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  /// Starts to read and watch the store's head key.
  void Start();

  /// Handles the head that a peer reported. A peer with a higher generation is
  /// remembered, and a request is sent to it later unless the store delivers
  /// that head first. Another digest at the generation in force counts as
  /// rejected.
  void OnPeerHead(Generation generation,
                  const std::string& digest,
                  const Endpoint& peer);
  /// Builds the reply to a peer whose generation in force is
  /// `request.generation`: the records above it and the documents that differ,
  /// as far as they are held here. A peer at generation 0 gets only the newest
  /// record. The reply is empty if the peer is not behind or its record is no
  /// longer kept here.
  ConfigReplyMessage BuildConfigReply(
      const ConfigRequestMessage& request) const;
  /// Verifies a peer's records and applies the newest; documents that the reply
  /// lacks are fetched from the store. An empty or rejected reply lengthens the
  /// interval of requests to peers. A reply with more than `max_records`
  /// records or more than `kMaxSites` + 1 documents is ignored.
  void OnConfigReply(const ConfigReplyMessage& reply);

  /// The configuration in force; null before the first. Valid until the next
  /// one is applied.
  const SiteConfig* current() const;
  /// Generation and head digest in force; 0 and empty before the first.
  Generation generation() const;
  const std::string& digest() const;
  /// Wall time at which this process applied the configuration in force; the
  /// epoch before the first.
  WallTime in_force_since() const;
  const ConfigFollowerCounts& counts() const;

  /// Emitted after a configuration was applied.
  AppliedSignal& signal_applied();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_FOLLOWER_H_
