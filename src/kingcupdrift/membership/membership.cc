#include "kingcupdrift/membership/membership.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace kingcupdrift {
namespace {

constexpr Logger kLog("membership");
/// Most probes in progress for other instances.
constexpr std::size_t kMaxRelayedProbes = 256;

}  // namespace

Membership::Membership(MemberRecord self,
                       MembershipOptions options,
                       Clock& clock,
                       Random& random,
                       HybridClock& hybrid_clock,
                       PeerLink& link,
                       InstanceList& list)
    : self_(std::move(self)),
      options_(options),
      clock_(clock),
      random_(random),
      hybrid_clock_(hybrid_clock),
      link_(link),
      list_(list),
      table_(clock),
      detector_(
          clock,
          random,
          options.detector,
          [this](const InstanceId& receiver, const ProbeMessage& probe) {
            if (const MemberRecord* it = table_.Find(receiver)) {
              SendTo(it->peer_endpoint, probe);
            }
          },
          [this](const InstanceId& id, bool is_answering) {
            UpdateLiveness(id, is_answering);
          }),
      is_live_(std::make_shared<bool>(true)) {}

Membership::~Membership() {
  *is_live_ = false;
}

void Membership::Start(const std::vector<Endpoint>& seeds) {
  seeds_ = seeds;
  for (const Endpoint& it : seeds_) {
    GossipWith(it, false, InstanceId());
  }
  list_timer_ =
      clock_.RunAfter(Duration::zero(), [this] { PollInstanceList(); });
  ScheduleGossip();
  ScheduleProbe();
}

void Membership::SendTo(const Endpoint& peer, PeerPayload payload) {
  link_.Send(peer, PeerMessage{self_.id, self_.incarnation,
                               hybrid_clock_.Tick(), std::move(payload)});
}

void Membership::OnMessage(const PeerMessage& message) {
  ClearSenderSuspicion(message);
  if (const auto* gossip = std::get_if<GossipMessage>(&message.payload)) {
    OnGossip(message, *gossip);
  } else if (const auto* probe = std::get_if<ProbeMessage>(&message.payload)) {
    OnProbe(message, *probe);
  } else if (const auto* reply =
                 std::get_if<ProbeReplyMessage>(&message.payload)) {
    OnProbeReply(*reply);
  }
}

void Membership::ClearSenderSuspicion(const PeerMessage& message) {
  const MemberRecord* record = table_.Find(message.sender);
  const bool is_suspect = record != nullptr &&
                          record->state == MemberState::kSuspect &&
                          record->incarnation <= message.incarnation;
  if (is_suspect) {
    UpdateLiveness(message.sender, true);
  }
}

void Membership::StartLeaving() {
  if (self_.state == MemberState::kLeaving) {
    return;
  }
  self_.state = MemberState::kLeaving;
  GossipNow(options_.leave_fanout);
}

void Membership::GossipNow(std::size_t peer_count) {
  GossipWithRandomPeers(peer_count);
}

std::vector<MemberRecord> Membership::ListServingMembers() const {
  std::vector<MemberRecord> serving;
  if (self_.state == MemberState::kAlive) {
    serving.push_back(self_);
  }
  for (const InstanceId& it : table_.ListByState(MemberState::kAlive)) {
    serving.push_back(*table_.Find(it));
  }
  return serving;
}

bool Membership::IsDeadOrUnknown(const InstanceId& id) const {
  if (id == self_.id) {
    return false;
  }
  const MemberRecord* record = table_.Find(id);
  return record == nullptr || record->state == MemberState::kDead;
}

void Membership::ScheduleGossip() {
  gossip_timer_ = clock_.RunAfter(AddJitter(options_.gossip_interval), [this] {
    GossipWithRandomPeers(1);
    table_.DropDeadOlderThan(options_.dead_retention_time);
    ScheduleGossip();
  });
}

void Membership::ScheduleProbe() {
  probe_timer_ =
      clock_.RunAfter(AddJitter(options_.detector.probe_interval), [this] {
        ProbeNext();
        ScheduleProbe();
      });
}

void Membership::PollInstanceList() {
  list_.Fetch(
      [this, is_live = is_live_](Result<std::vector<ListedInstance>> listed) {
        if (*is_live && listed) {
          OnList(*listed);
        }
      });
  list_timer_ = clock_.RunAfter(AddJitter(options_.list_interval),
                                [this] { PollInstanceList(); });
}

void Membership::GossipWith(const Endpoint& peer,
                            bool is_reply,
                            const InstanceId& about) {
  GossipMessage gossip;
  gossip.is_reply = is_reply;
  gossip.members = table_.SelectForGossip(options_.max_gossip_records);
  if (const MemberRecord* record = table_.Find(about)) {
    gossip.members.push_back(*record);
  }
  gossip.members.push_back(self_);
  if (fill_gossip_) {
    fill_gossip_(gossip);
  }
  SendTo(peer, std::move(gossip));
}

void Membership::GossipWithRandomPeers(std::size_t peer_count) {
  std::vector<InstanceId> peers = table_.ListNotDead();
  if (peers.empty()) {
    for (const Endpoint& it : seeds_) {
      GossipWith(it, false, InstanceId());
    }
    return;
  }
  for (std::size_t i = 0; i < peer_count && !peers.empty(); ++i) {
    const std::size_t pick = random_.NextBelow(peers.size());
    std::swap(peers[pick], peers.back());
    GossipWith(table_.Find(peers.back())->peer_endpoint, false, InstanceId());
    peers.pop_back();
  }
}

void Membership::ProbeNext() {
  if (probe_round_.empty()) {
    probe_round_ = table_.ListNotDead();
    for (std::size_t i = probe_round_.size(); i > 1; --i) {
      std::swap(probe_round_[i - 1], probe_round_[random_.NextBelow(i)]);
    }
  }
  if (probe_round_.empty()) {
    return;
  }
  const InstanceId target = probe_round_.back();
  probe_round_.pop_back();
  if (!IsDeadOrUnknown(target)) {
    StartProbe(target);
  }
}

void Membership::StartProbe(const InstanceId& id) {
  std::vector<InstanceId> relays = table_.ListByState(MemberState::kAlive);
  std::erase(relays, id);
  detector_.Probe(id, std::move(relays));
}

void Membership::OnList(const std::vector<ListedInstance>& listed) {
  for (const ListedInstance& it : listed) {
    if (it.id == self_.id) {
      OnSelfListed(it.is_leaving);
    } else {
      OnListed(it);
    }
  }
}

void Membership::OnSelfListed(bool is_leaving) {
  if (!is_leaving) {
    listed_live_[self_.id] = self_.incarnation;
    return;
  }
  const bool was_listed_live = listed_live_.contains(self_.id);
  if (was_listed_live && self_.state != MemberState::kLeaving) {
    signal_asked_to_leave_.emit();
  }
}

void Membership::OnListed(const ListedInstance& listed) {
  if (IsDeadOrUnknown(listed.id)) {
    if (!listed.is_leaving) {
      GossipWith(listed.peer_endpoint, false, listed.id);
    }
    return;
  }
  const MemberRecord& known = *table_.Find(listed.id);
  if (!listed.is_leaving) {
    listed_live_[listed.id] = known.incarnation;
    return;
  }
  const auto seen = listed_live_.find(listed.id);
  const bool is_current =
      seen != listed_live_.end() && seen->second == known.incarnation;
  if (is_current && known.state != MemberState::kLeaving) {
    table_.SetState(listed.id, MemberState::kLeaving);
    NotifyMemberChanged(listed.id);
  }
}

void Membership::OnGossip(const PeerMessage& message,
                          const GossipMessage& gossip) {
  hybrid_clock_.Observe(message.time);
  for (const MemberRecord& it : gossip.members) {
    ProcessRecord(it);
  }
  signal_gossip_received_.emit(message.sender, gossip);
  if (!gossip.is_reply) {
    if (const MemberRecord* sender = table_.Find(message.sender)) {
      GossipWith(sender->peer_endpoint, true, message.sender);
    }
  }
}

void Membership::ProcessRecord(const MemberRecord& incoming) {
  if (incoming.id == self_.id) {
    MaybeRefuteRecord(incoming);
    return;
  }
  const MemberRecord* known = table_.Find(incoming.id);
  const bool is_suspect_or_dead = incoming.state == MemberState::kDead ||
                                  incoming.state == MemberState::kSuspect;
  const bool is_about_known =
      known != nullptr && known->incarnation == incoming.incarnation;
  if (is_suspect_or_dead) {
    // A peer's claim does not change the state. It only starts a probe early.
    if (is_about_known && known->state == MemberState::kAlive) {
      StartProbe(incoming.id);
    }
    return;
  }
  if (table_.Merge(incoming)) {
    suspicions_.erase(incoming.id);
    NotifyMemberChanged(incoming.id);
  }
}

void Membership::MaybeRefuteRecord(const MemberRecord& incoming) {
  const bool is_current = incoming.incarnation >= self_.incarnation;
  if (is_current && incoming.state != MemberState::kAlive &&
      incoming.state != self_.state) {
    self_.incarnation = incoming.incarnation + Incarnation(1);
    kLog.Warning(
        "A peer reported this instance as suspect, draining or dead; "
        "raised this instance's incarnation to {} to refute it.",
        self_.incarnation.value());
    GossipNow(options_.detector.indirect_probe_count);
  }
}

void Membership::OnProbe(const PeerMessage& message,
                         const ProbeMessage& probe) {
  const MemberRecord* sender = table_.Find(message.sender);
  if (sender == nullptr) {
    return;
  }
  if (probe.target.empty() || probe.target == self_.id) {
    SendTo(sender->peer_endpoint,
           ProbeReplyMessage{probe.sequence, self_.id, self_.incarnation});
    return;
  }
  if (IsDeadOrUnknown(probe.target) ||
      relayed_probes_.size() >= kMaxRelayedProbes) {
    return;
  }
  relayed_probes_.emplace(probe.target, sender->peer_endpoint);
  StartProbe(probe.target);
}

void Membership::OnProbeReply(const ProbeReplyMessage& reply) {
  const auto [first, last] = relayed_probes_.equal_range(reply.target);
  for (auto it = first; it != last; ++it) {
    SendTo(it->second, reply);
  }
  relayed_probes_.erase(first, last);
  detector_.OnReply(reply.target);
}

void Membership::UpdateLiveness(const InstanceId& id, bool is_answering) {
  relayed_probes_.erase(id);
  if (IsDeadOrUnknown(id)) {
    return;
  }
  if (is_answering) {
    suspicions_.erase(id);
    if (table_.Find(id)->state == MemberState::kSuspect) {
      table_.SetState(id, MemberState::kAlive);
      NotifyMemberChanged(id);
    }
    return;
  }
  const auto it = suspicions_.find(id);
  if (it == suspicions_.end()) {
    MarkSuspect(id);
  } else if (it->second.is_expired) {
    MarkDead(id);
  }
}

void Membership::MarkSuspect(const InstanceId& id) {
  const MemberRecord record = *table_.Find(id);
  Suspicion suspicion;
  suspicion.timer = clock_.RunAfter(options_.suspicion_timeout, [this, id] {
    suspicions_[id].is_expired = true;
    StartProbe(id);
  });
  suspicions_[id] = std::move(suspicion);
  if (record.state == MemberState::kAlive) {
    table_.SetState(id, MemberState::kSuspect);
    NotifyMemberChanged(id);
    // The suspect gets its record at once, so that it can refute the suspicion.
    GossipWith(record.peer_endpoint, false, id);
  }
}

void Membership::MarkDead(const InstanceId& id) {
  suspicions_.erase(id);
  listed_live_.erase(id);
  table_.SetState(id, MemberState::kDead);
  NotifyMemberChanged(id);
}

void Membership::NotifyMemberChanged(const InstanceId& id) {
  const MemberRecord record = *table_.Find(id);
  signal_member_changed_.emit(record);
}

Duration Membership::AddJitter(Duration interval) {
  const double factor = 0.8 + 0.4 * random_.NextDouble();
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(interval.count()) * factor));
}

}  // namespace kingcupdrift
