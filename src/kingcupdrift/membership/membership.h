#ifndef KINGCUPDRIFT_MEMBERSHIP_MEMBERSHIP_H_
#define KINGCUPDRIFT_MEMBERSHIP_MEMBERSHIP_H_

/// @file
/// Public header of membership: which entries exist, which of them take new
/// work, and which addresses callers of a workspace are told.

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

/// Timing and sizes of membership.
struct MembershipOptions {
  FailureDetectorOptions detector;
  Duration gossip_interval = std::chrono::seconds(1);
  Duration list_interval = std::chrono::seconds(2);
  /// Time a suspect has to refute before it counts as dead.
  Duration suspicion_timeout = std::chrono::seconds(3);
  /// Time a dead instance is remembered, so that late gossip cannot revive it.
  Duration dead_retention_time = std::chrono::minutes(2);
  /// Records in one gossip message.
  std::size_t max_gossip_records = 12;
  /// Peers told at once when this instance begins to leave.
  std::size_t leave_fanout = 16;
};

/// Keeps the view of the other entries by random-peer exchange, probes and the
/// platform's list. An instance is taken for dead only on this instance's own
/// evidence: hearsay starts a probe and nothing more.
class Membership {
 public:
  /// Adds configuration and usage to an outgoing gossip message.
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
  /// Joins through `seeds` and the platform's list.
  void Start(const std::vector<Endpoint>& seeds);
  /// Handles the membership part of a message; others are ignored.
  void OnMessage(const PeerMessage& message);
  /// Tells the others that this instance takes no new work.
  void StartLeaving();
  /// Gossips with a few peers now, for news that should not wait.
  void GossipNow(std::size_t peer_count);
  void SetGeneration(Generation generation) { self_.generation = generation; }

  /// Sends any payload to a peer under this instance's name and time stamp.
  void SendTo(const Endpoint& peer, PeerPayload payload);

  const MemberRecord& self() const { return self_; }
  const MemberTable& table() const { return table_; }
  /// Instances that take new work, this one included unless it is leaving.
  std::vector<MemberRecord> ListServingMembers() const;
  /// True if the instance is known and dead, or was never heard of.
  bool IsDeadOrUnknown(const InstanceId& id) const;

  /// Emitted after a state change of another instance.
  sigc::signal<void, const MemberRecord&>& signal_member_changed() {
    return signal_member_changed_;
  }
  /// Emitted for each gossip message, for its configuration and usage.
  sigc::signal<void, const InstanceId&, const GossipMessage&>&
  signal_gossip_received() {
    return signal_gossip_received_;
  }
  /// Emitted when the platform lists this instance as leaving.
  sigc::signal<void>& signal_asked_to_leave() { return signal_asked_to_leave_; }

 private:
  /// A suspect has until the timer's end to answer; then one last probe
  /// decides.
  struct Suspicion {
    std::unique_ptr<Timer> timer;
    bool is_expired = false;
  };

  /// Any message from a suspect clears it, however late its answers come.
  void ClearSenderSuspicion(const PeerMessage& message);
  void ScheduleGossip();
  void ScheduleProbe();
  void PollInstanceList();
  /// `about` is always told of; empty for nobody in particular.
  void GossipWith(const Endpoint& peer, bool is_reply, const InstanceId& about);
  void GossipWithRandomPeers(std::size_t peer_count);
  void ProbeNext();
  void OnList(const std::vector<ListedInstance>& listed);
  void OnListed(const ListedInstance& listed);
  void OnSelfListed(bool is_leaving);
  void OnGossip(const PeerMessage& message, const GossipMessage& gossip);
  void OnProbe(const PeerMessage& message, const ProbeMessage& probe);
  void OnProbeReply(const ProbeReplyMessage& reply);
  void ProcessRecord(const MemberRecord& news);
  void MaybeRefuteRecord(const MemberRecord& news);
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
  /// Instances that the platform listed as live, with the incarnation then. A
  /// listing as leaving counts only after that, since the list lags and may
  /// still speak of an instance's earlier run.
  std::map<InstanceId, Incarnation> listed_live_;
  /// Instances that asked this one to probe a target for them.
  std::multimap<InstanceId, Endpoint> relayed_probes_;
  std::unique_ptr<Timer> gossip_timer_;
  std::unique_ptr<Timer> probe_timer_;
  std::unique_ptr<Timer> list_timer_;
  /// Cleared on destruction, so that a late list answer is dropped.
  std::shared_ptr<bool> is_live_;
  sigc::signal<void, const MemberRecord&> signal_member_changed_;
  sigc::signal<void, const InstanceId&, const GossipMessage&>
      signal_gossip_received_;
  sigc::signal<void> signal_asked_to_leave_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_MEMBERSHIP_MEMBERSHIP_H_
