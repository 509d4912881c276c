#ifndef KINGCUPDRIFT_MEMBERSHIP_MEMBERSHIP_H_
#define KINGCUPDRIFT_MEMBERSHIP_MEMBERSHIP_H_

/// @file
/// Public header of membership: tracks which entries (serving processes) exist
/// and which of them take new work, and ranks the entries whose addresses a
/// workspace's callers get. An entry that is draining has the state `kLeaving`.

#include <sigc++/sigc++.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/membership/discovery.h"         // IWYU pragma: export
#include "kingcupdrift/membership/failure_detector.h"  // IWYU pragma: export
#include "kingcupdrift/membership/member_table.h"      // IWYU pragma: export

namespace kingcupdrift {

/// Intervals, timeouts and sizes of membership. Intervals are mean values.
struct MembershipOptions {
  FailureDetectorOptions detector;
  Duration gossip_interval = std::chrono::seconds(1);
  /// Time between reads of the platform's instance list.
  Duration list_interval = std::chrono::seconds(2);
  /// Time that a suspect has to answer before one last probe of it starts. Only
  /// if that fails is the suspect marked dead.
  Duration suspicion_timeout = std::chrono::seconds(3);
  /// Time for which the record of a dead instance is kept as a tombstone, so
  /// that late gossip cannot revive the instance.
  Duration dead_retention_time = std::chrono::minutes(2);
  /// Records of other instances in one gossip message, besides those of the
  /// sender and of the instance that the message is about.
  std::size_t max_gossip_records = 12;
  /// Peers that get a gossip message at once when this instance starts to
  /// drain.
  std::size_t leave_fanout = 16;
};

/// Tracks the other entries by gossip with random peers, probes and the
/// platform's instance list. An instance is marked dead only after this
/// instance's own probes of it failed: a peer's claim that an instance is
/// suspect or dead only starts such a probe.
class Membership {
 public:
  /// Adds the configuration's generation and digest, and usage, to an outgoing
  /// gossip message.
  using FillGossip = std::function<void(GossipMessage& message)>;

  Membership(MemberRecord self,
             MembershipOptions options,
             Clock& clock,
             Random& random,
             HybridClock& hybrid_clock,
             PeerLink& link,
             InstanceList& list);
  ~Membership();

  void SetFillGossip(FillGossip fill) { fill_gossip_ = std::move(fill); }
  /// Starts to gossip, with `seeds` first, to probe and to read the list.
  void Start(const std::vector<Endpoint>& seeds);
  /// Clears a suspicion of the message's sender, and then handles the payload
  /// if it is a gossip message, a probe or a probe's reply. Messages with other
  /// payloads that the owner handles itself do not clear a suspicion.
  void OnMessage(const PeerMessage& message);
  /// Starts to drain: announces to some peers at once that this instance takes
  /// no new work.
  void StartLeaving();
  /// Sends a gossip message to up to `peer_count` random peers at once, or to
  /// all seeds if no peer is known, for changes that should not wait for the
  /// gossip interval.
  void GossipNow(std::size_t peer_count);
  /// Sets the configuration generation that this instance's record states.
  void SetGeneration(Generation generation) { self_.generation = generation; }

  /// Sends any payload to a peer with this instance's ID and a time stamp.
  void SendTo(const Endpoint& peer, PeerPayload payload);

  const MemberRecord& self() const { return self_; }
  const MemberTable& table() const { return table_; }
  /// Members in state alive, which take new work, including this one unless it
  /// is draining. Suspects are left out.
  std::vector<MemberRecord> ListServingMembers() const;
  /// True if the instance is marked dead or has no record. False for this
  /// instance.
  bool IsDeadOrUnknown(const InstanceId& id) const;

  /// Emitted after another instance joined, restarted (came with a higher
  /// incarnation) or changed its state.
  sigc::signal<void, const MemberRecord&>& signal_member_changed() {
    return signal_member_changed_;
  }
  /// Emitted for each gossip message with its sender's ID, so that the owner
  /// can use the configuration's generation and digest, and usage, in it.
  sigc::signal<void, const InstanceId&, const GossipMessage&>&
  signal_gossip_received() {
    return signal_gossip_received_;
  }
  /// Emitted at each reading of the platform's list that shows this instance as
  /// leaving after an earlier one showed it as live, until `StartLeaving`.
  sigc::signal<void>& signal_asked_to_leave() { return signal_asked_to_leave_; }

 private:
  /// A suspicion of one instance. When the timer ends it is expired and one
  /// last probe of the suspect starts; if that fails, the suspect is marked
  /// dead.
  struct Suspicion {
    std::unique_ptr<Timer> timer;
    bool is_expired = false;
  };

  /// Clears the suspicion of the message's sender: a suspect whose answers come
  /// late is not marked dead.
  void ClearSenderSuspicion(const PeerMessage& message);
  void ScheduleGossip();
  void ScheduleProbe();
  void PollInstanceList();
  /// Sends a gossip message that includes the record of `about`. `about` is
  /// empty if no record must be included.
  void GossipWith(const Endpoint& peer, bool is_reply, const InstanceId& about);
  void GossipWithRandomPeers(std::size_t peer_count);
  void ProbeNext();
  void OnList(const std::vector<ListedInstance>& listed);
  void OnListed(const ListedInstance& listed);
  void OnSelfListed(bool is_leaving);
  void OnGossip(const PeerMessage& message, const GossipMessage& gossip);
  void OnProbe(const PeerMessage& message, const ProbeMessage& probe);
  void OnProbeReply(const ProbeReplyMessage& reply);
  void ProcessRecord(const MemberRecord& incoming);
  void MaybeRefuteRecord(const MemberRecord& incoming);
  void UpdateLiveness(const InstanceId& id, bool is_answering);
  void MarkSuspect(const InstanceId& id);
  void MarkDead(const InstanceId& id);
  void StartProbe(const InstanceId& id);
  void NotifyMemberChanged(const InstanceId& id);
  Duration AddJitter(Duration interval);

  MemberRecord self_;
  MembershipOptions options_;
  Clock& clock_;
  Random& random_;
  HybridClock& hybrid_clock_;
  PeerLink& link_;
  InstanceList& list_;
  MemberTable table_;
  FailureDetector detector_;
  FillGossip fill_gossip_;
  std::vector<Endpoint> seeds_;
  std::vector<InstanceId> probe_round_;
  std::map<InstanceId, Suspicion> suspicions_;
  /// Instances that the platform listed as live, with their incarnations at
  /// that time. A listing as leaving is ignored until the list has shown this
  /// run of the instance as live, since the list lags and may still be about an
  /// earlier run.
  std::map<InstanceId, Incarnation> listed_live_;
  /// Peers that asked this instance to probe a target for them, by target.
  std::multimap<InstanceId, Endpoint> relayed_probes_;
  std::unique_ptr<Timer> gossip_timer_;
  std::unique_ptr<Timer> probe_timer_;
  std::unique_ptr<Timer> list_timer_;
  /// Set to false on destruction, so that a late list answer is dropped.
  std::shared_ptr<bool> is_live_;
  sigc::signal<void, const MemberRecord&> signal_member_changed_;
  sigc::signal<void, const InstanceId&, const GossipMessage&>
      signal_gossip_received_;
  sigc::signal<void> signal_asked_to_leave_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_MEMBERSHIP_MEMBERSHIP_H_
