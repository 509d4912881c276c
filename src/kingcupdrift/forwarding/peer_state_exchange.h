#ifndef KINGCUPDRIFT_FORWARDING_PEER_STATE_EXCHANGE_H_
#define KINGCUPDRIFT_FORWARDING_PEER_STATE_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/entry_record.h"
#include "kingcupdrift/forwarding/relay_peer.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/store/reader_election.h"
#include "kingcupdrift/store/store_mirror.h"

namespace kingcupdrift {

/// State of this entry that its messages carry to the others.
struct LocalEntryState {
  StorePosition store_position;
  /// This entry reads the store, and its last call succeeded.
  bool has_store = false;
  /// A listing of the store is in progress.
  bool is_listing = false;
  /// This entry is draining.
  bool is_leaving = false;
  /// This entry can connect to no engine.
  bool is_cut_off = false;
  /// Requests that callers sent to this entry lately.
  double requests_per_second = 0;
};

/// Receives what other entries send, and supplies what this entry sends.
class PeerStateObserver {
 public:
  virtual ~PeerStateObserver() = default;
  virtual void OnPeerWork(const InstanceId& owner, const WorkNote& note) = 0;
  /// Another entry suspects that the engine is down.
  virtual void OnSuspectReported(const EngineId& engine) = 0;
  /// An engine told another entry that it is leaving.
  virtual void OnLeavingReported(const LeavingEngine& engine) = 0;
  /// All engines that are known to be leaving.
  virtual std::vector<LeavingEngine> ListLeavingEngines() const = 0;
  /// An engine told another entry about its limit.
  virtual void OnLimitReported(const EngineLimit& limit) = 0;
  /// Limits of engines in force.
  virtual std::vector<EngineLimit> ListLimits() const = 0;
  virtual void OnCrashEvidence(const CrashEvidence& evidence) = 0;
  /// Crashes of engines of at most this age, from this and other entries.
  virtual CrashEvidence ListCrashEvidence(Duration max_age) const = 0;
  /// All work that this entry has at engines now.
  virtual std::vector<WorkNote> ListLocalWork() const = 0;
  /// All work received from `entry` is outdated. Called when the entry is no
  /// longer listed, replaced or out of reach, and before its complete list of
  /// work is applied. The number of entries may have changed.
  virtual void OnPeerWorkReset(const InstanceId& entry) = 0;
  virtual LocalEntryState GetLocalState() const = 0;
  /// Contents of the platform's store after `request.position`, for a peer that
  /// asked.
  virtual StoreStateReplyMessage StateAfter(
      const StoreStateRequestMessage& request) = 0;
  /// Changes of the store since the last call that this entry has to pass on.
  virtual std::optional<StoreStateReplyMessage> TakeStoreChanges() = 0;
  /// A peer sent contents of the platform's store or, without items, a notice
  /// that it has newer ones. If the result is not kApplied, this entry has to
  /// ask for what is missing.
  virtual PeerStateResult OnState(const StoreStateReplyMessage& state) = 0;
  /// Called at least every `kReaderCheckInterval` with the peers that sent a
  /// message within `kRecentMessageAge`, or were listed or joined the serving
  /// group within that time, and serve. `is_serving`: this entry serves.
  virtual void OnPeersChecked(const std::vector<ReaderCandidate>& recent,
                              bool is_serving) = 0;
};

/// Exchanges state with the other entries (peers): which of them are reachable,
/// their work at engines, and newer contents of the platform's store. Entries
/// find each other in the store and then send messages directly.
///
/// Entries of the serving group (see `ChooseServingGroup`) send to all, and the
/// others, which are in reserve, only to the group. So an entry in reserve
/// hears nothing of the others in reserve, and counts them as alive. If one
/// that should serve by this entry's view sends nothing for
/// `kHeartbeatTimeout`, it counts as unreachable and the next one takes its
/// place.
class PeerStateExchange {
 public:
  PeerStateExchange(Clock& clock,
                    PeerLink& link,
                    EntryRecord local_entry,
                    PeerStateObserver& observer);

  void Start();

  /// Where the store has a peer's record from.
  enum class RecordSource {
    /// The peer wrote it.
    kWritten,
    /// The store was restored from an older copy, which has it. It does not
    /// replace another peer at its address that is in reach.
    kRestored,
  };

  /// Lists or updates a peer. `key` is the record's key in the store,
  /// `position` that of its write. Of two peers with one address only the newer
  /// stays listed. A record with this entry's own address is ignored.
  void Update(const std::string& key,
              const EntryRecord& record,
              const StorePosition& position,
              RecordSource source = RecordSource::kWritten);
  /// Removes the record of `key`; its peer is dropped with its last record. If
  /// `is_confirmed` is false, the record may be missing only because the store
  /// was out of reach or restored; a peer in reach then stays listed for
  /// `kUnlistedGrace`, so that its work and its share of limits still count
  /// until it has written its record again.
  void Remove(const std::string& key, bool is_confirmed = true);

  /// Sends the note to the serving group, in one message with all that follows
  /// within `kBatchDelay`.
  void BroadcastWork(WorkNote note);
  /// Reports to the serving group that the engine may be down, batched like
  /// `BroadcastWork`.
  void BroadcastSuspect(const EngineId& engine);
  /// Reports to all peers, or from the reserve to the serving group, that the
  /// engine is leaving, batched like `BroadcastWork`. While it is known as
  /// leaving here, it is reported again with heartbeats for `kRepeatTime`.
  void BroadcastLeaving(const LeavingEngine& engine);
  /// Reports what an engine said about its limit to the same peers, batched
  /// like `BroadcastWork`.
  void BroadcastLimit(const EngineLimit& limit);
  /// Sends the evidence to the same peers, batched like `BroadcastWork`.
  /// Crashes are sent again with heartbeats for `kRepeatTime`.
  void BroadcastCrashEvidence(const CrashEvidence& evidence);
  /// Sends the result of `TakeStoreChanges` to the same peers, batched like
  /// `BroadcastWork`.
  void BroadcastStoreChanges();
  /// Sends the local state, and what is batched, to the same peers now, and
  /// determines the readers of the store anew.
  void BroadcastState();

  /// Endpoints of the serving group: this entry, unless it is draining, and
  /// all peers that have responded, are in reach and not draining. If that is
  /// at most one endpoint, this entry and all other peers that are not draining
  /// are added. Entries that reach no engine are left out unless that leaves
  /// none.
  std::vector<Endpoint> ListCallerEndpoints() const;
  /// Peers of the serving group that are in reach, reach engines and are not
  /// draining.
  std::vector<RelayPeer> ListRelayPeers() const;
  bool is_serving() const { return is_serving_; }
  /// Number of listed entries, this one included, reachable or not.
  std::size_t CountEntries() const;
  /// Number of parts into which a limit of all entries is to be divided, so
  /// that the parts of those that use it don't exceed it together: all entries
  /// in a small fleet. In a larger one the serving group shares one half and
  /// the reserve, which few callers use, the other. An entry that hears of less
  /// than half of a group may be one of many that are cut off, and counts all.
  std::size_t CountLimitShares() const;

  /// Covers messages that are lost, and a change of the serving group.
  static constexpr Duration kRepeatTime = std::chrono::seconds(3);
  /// Entries among which limits of engines are divided, this one included: the
  /// serving group without those that are draining or out of reach. All listed
  /// entries if this one hears of less than half of them or of a full group,
  /// since it may be the one that is cut off.
  std::vector<InstanceId> ListSendingEntries() const;

  /// A batch is sent this long after its first note. Short, so that the other
  /// entries get the note before they choose the same engine.
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(1);
  /// Every entry sends its state to all peers at this interval.
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
  /// A peer without a message for this long counts as unreachable: three
  /// heartbeats and a margin.
  static constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1500);
  /// Time for which this entry's copy of the store may be behind a reader
  /// before it requests the newer contents from a peer that has them; also the
  /// least interval between requests. It counts from the last change of the
  /// local copy. This entry's watch of the store usually delivers the same
  /// sooner.
  static constexpr Duration kStoreRequestDelay = std::chrono::milliseconds(600);
  /// The same for an entry that does not read the store itself: changes are
  /// sent to it without a request, so that only those that were lost are
  /// requested.
  static constexpr Duration kFollowerRequestDelay =
      std::chrono::milliseconds(100);
  /// The same while a listing of its own is in progress, which brings contents
  /// that are too large to be passed on.
  static constexpr Duration kOwnListingTime = std::chrono::milliseconds(1200);
  /// A request without an answer for this long is repeated at another peer.
  static constexpr Duration kStoreRequestTimeout =
      std::chrono::milliseconds(300);
  /// Interval at which the serving group and the readers of the store are
  /// determined.
  static constexpr Duration kReaderCheckInterval =
      std::chrono::milliseconds(200);
  /// Two heartbeats and a margin. Shorter than `kHeartbeatTimeout`, since an
  /// additional reader of the store costs little and a missing one delays
  /// configuration.
  static constexpr Duration kRecentMessageAge = std::chrono::milliseconds(900);
  /// A record that its entry writes again is back within about 2 s of the
  /// store's return; the rest is for entries that notice it late.
  static constexpr Duration kUnlistedGrace = std::chrono::seconds(5);

 private:
  struct Peer {
    EntryRecord record;
    std::set<std::string> keys;
    StorePosition position;
    /// Latest state of the store that its messages named.
    StorePosition store_position;
    /// Time since which no record of the peer is listed, although it may run.
    std::optional<MonotonicTime> unlisted_since;
    MonotonicTime last_message_at{};
    bool has_responded = false;
    bool is_unreachable = false;
    bool is_leaving = false;
    /// It can connect to no engine.
    bool is_cut_off = false;
    /// It reads the platform's store and reaches it.
    bool has_store = false;
    /// It is in the serving group, by this entry's view.
    bool is_serving = false;
    double requests_per_second = 0;
    /// This entry has sent it a message.
    bool was_contacted = false;
    /// Its complete list of work was received.
    bool has_complete_work = false;
  };

  void Receive(const PeerMessage& message);
  void HandleWorkNotes(const InstanceId& sender,
                       const WorkNotesMessage& message);
  void SendCompleteWork(const Peer& peer);
  void HandleStorePosition(const Peer& peer);
  /// A reader in reach is ahead of the local copy.
  bool IsBehind(const LocalEntryState& local) const;
  /// Requests newer contents if this entry has been behind for long enough, and
  /// checks again later while it is behind.
  void CatchUp();
  /// A peer in reach whose copy is as new as any and newer than the local one;
  /// entries choose different ones, and each another one for its next request.
  const Peer* ChooseUpToDatePeer() const;
  void FlushSoon();
  /// Sends what is batched. Peers in reserve get no work notes, and a message
  /// only if it is a heartbeat or has other news.
  void Flush(bool is_heartbeat);
  void SendHeartbeat();
  void CheckPeers();
  void CheckPeersSoon();
  void UpdateServingGroup();
  /// Peers that this entry sends to: all if it serves, else those that serve.
  bool IsReceiver(const Peer& peer) const {
    return is_serving_ || peer.is_serving;
  }
  void RequestCompleteWork(const Peer& peer);
  void DropUnlistedPeers();
  /// Hands a peer's state to the observer, and asks the peer for what is
  /// missing unless that is on its way.
  void ApplyStoreState(const Peer& peer, const StoreStateReplyMessage& state);
  /// A request for the store's contents may still be answered.
  bool IsStoreRequestPending() const;
  void RequestStoreState(const Peer& peer);
  void Send(const Endpoint& peer, PeerPayload payload);
  WorkNotesMessage MakeStateMessage() const;
  /// Engines reported less than `kRepeatTime` ago that are still known as
  /// leaving.
  std::vector<LeavingEngine> ListRecentLeaving();
  /// Drops older peers with the record's address. False if the address is this
  /// entry's own or belongs to a peer that is newer or has priority as
  /// `RecordSource` says.
  bool ReplaceOlderPeers(const EntryRecord& record,
                         const StorePosition& position,
                         RecordSource source);
  std::vector<Endpoint> ListCallerEndpoints(bool with_cut_off) const;
  Peer* FindPeer(const InstanceId& id);

  Clock& clock_;
  PeerLink& link_;
  EntryRecord local_entry_;
  PeerStateObserver& observer_;
  std::map<InstanceId, Peer> peers_;
  std::vector<WorkNote> pending_notes_;
  std::vector<EngineId> pending_suspects_;
  std::vector<LeavingEngine> pending_leaving_;
  // Engines that this entry reported as leaving, and when.
  std::map<LeavingEngine, MonotonicTime> recent_leaving_;
  CrashEvidence pending_crash_evidence_;
  std::vector<EngineLimit> pending_limits_;
  // Time since which a reader has been ahead of the local copy of the store at
  // `behind_position_`, or of the last request since.
  std::optional<MonotonicTime> behind_since_;
  StorePosition behind_position_;
  std::unique_ptr<Timer> catch_up_timer_;
  std::uint64_t store_requests_ = 0;
  // Time of the last request without an answer.
  std::optional<MonotonicTime> store_request_sent_at_;
  bool accepts_patches_ = true;
  std::unique_ptr<Timer> check_timer_;
  bool is_check_due_ = false;
  bool is_serving_ = true;
  std::unique_ptr<Timer> flush_timer_;
  std::unique_ptr<Timer> heartbeat_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_PEER_STATE_EXCHANGE_H_
