#ifndef KINGCUPDRIFT_FORWARDING_PEER_STATE_EXCHANGE_H_
#define KINGCUPDRIFT_FORWARDING_PEER_STATE_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// How an entry can be reached.
struct EntryRecord {
  InstanceId id;
  Endpoint peer_endpoint;
  Endpoint caller_endpoint;
  FailureDomain failure_domain;
};

/// The record as kept in the platform's store, and back. kInvalidArgument if
/// the text is no record.
std::string EncodeEntryRecord(const EntryRecord& record);
Result<EntryRecord> DecodeEntryRecord(const std::string& text);

/// What this entry tells the others about itself.
struct LocalEntryState {
  StoreVersion store_version;
  bool has_store = false;
  bool is_leaving = false;
};

/// What arrives from other entries.
class PeerStateObserver {
 public:
  virtual ~PeerStateObserver() = default;
  virtual void OnPeerWork(const InstanceId& owner, const WorkNote& note) = 0;
  /// Another entry suspects the engine not to answer.
  virtual void OnSuspectReported(const EngineId& engine) = 0;
  /// Own work under way.
  virtual std::vector<WorkNote> ListLocalWork() const = 0;
  /// The entry is gone or out of reach, or will tell its work anew.
  virtual void OnPeerWorkReset(const InstanceId& entry) = 0;
  virtual LocalEntryState GetLocalState() const = 0;
  virtual StoreStateReplyMessage StateAfter(StoreVersion version) const = 0;
  virtual void OnState(const StoreStateReplyMessage& state) = 0;
};

/// The other entries: who lives, what they work on, and who has seen more of
/// the platform's store. Entries find each other in the store and then talk
/// directly.
class PeerStateExchange {
 public:
  PeerStateExchange(Clock& clock,
                    PeerLink& link,
                    EntryRecord own,
                    PeerStateObserver& observer);

  void Start();
  /// `key` names the record in the store, `version` the write that made it. Of
  /// two entries at one address only the newer lives.
  void Update(const std::string& key,
              const EntryRecord& record,
              StoreVersion version);
  void Remove(const std::string& key);

  /// Tells all entries, together with what else comes within `kBatchDelay`.
  void BroadcastWork(WorkNote note);
  /// Tells all entries that the engine may be down, as `BroadcastWork` does.
  void BroadcastSuspect(const EngineId& engine);
  /// Tells all entries the own state now.
  void BroadcastState();

  /// Entries that take new callers, this one included unless it is leaving.
  std::vector<Endpoint> ListCallerEndpoints() const;
  /// Entries in use, this one included.
  std::size_t CountEntries() const;

  /// Notes of one batch leave this long after the first: short against the time
  /// in which a second entry might choose the same engine.
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(1);
  /// Every entry tells its state this often.
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
  /// An entry that said nothing for three states and a margin is out of reach.
  static constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1500);
  /// A peer may be ahead this long before it is asked for its copy: the own
  /// watch usually brings the same.
  static constexpr Duration kMaxLag = std::chrono::milliseconds(600);

 private:
  struct Peer {
    EntryRecord record;
    std::set<std::string> keys;
    StoreVersion version;
    MonotonicTime last_message_at{};
    bool has_responded = false;
    bool is_unreachable = false;
    bool is_leaving = false;
    /// Its work under way is known here.
    bool has_complete = false;
  };

  void Receive(const PeerMessage& message);
  void HandleWorkNotes(const InstanceId& sender,
                       const WorkNotesMessage& message);
  void SendCompleteWork(const Peer& peer);
  void RequestStoreStateIfBehind(const Peer& peer,
                                 const WorkNotesMessage& message);
  void FlushSoon();
  void Flush();
  void SendHeartbeat();
  void Send(const Endpoint& peer, PeerPayload payload);
  WorkNotesMessage StateMessage() const;
  /// Drops older entries at the record's address; false if a newer one is
  /// there.
  bool ReplaceOlderPeers(const EntryRecord& record, StoreVersion version);
  Peer* FindPeer(const InstanceId& id);

  Clock& clock_;
  PeerLink& link_;
  EntryRecord own_;
  PeerStateObserver& observer_;
  std::map<InstanceId, Peer> peers_;
  std::vector<WorkNote> pending_;
  std::vector<EngineId> suspects_;
  // Since when some peer has been ahead of the own copy.
  std::optional<MonotonicTime> behind_since_;
  std::unique_ptr<Timer> flush_timer_;
  std::unique_ptr<Timer> tick_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_PEER_STATE_EXCHANGE_H_
