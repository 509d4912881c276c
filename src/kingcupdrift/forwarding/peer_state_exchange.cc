#include "kingcupdrift/forwarding/peer_state_exchange.h"

#include <utility>
#include <variant>

#include "kingcupdrift/forwarding/work_quarantine.h"

namespace kingcupdrift {
namespace {

const Logger kLog("entries");

}  // namespace

PeerStateExchange::PeerStateExchange(Clock& clock,
                                     PeerLink& link,
                                     EntryRecord local_entry,
                                     PeerStateObserver& observer)
    : clock_(clock),
      link_(link),
      local_entry_(std::move(local_entry)),
      observer_(observer) {
  link_.SetReceiver([this](const PeerMessage& message) { Receive(message); });
}

void PeerStateExchange::Start() {
  SendHeartbeat();
  CheckPeers();
}

void PeerStateExchange::RequestCompleteWork(const Peer& peer) {
  WorkNotesMessage message = MakeStateMessage();
  message.wants_complete = true;
  Send(peer.record.peer_endpoint, std::move(message));
}

bool PeerStateExchange::ReplaceOlderPeers(const EntryRecord& record,
                                          const StorePosition& position,
                                          RecordSource source) {
  if (record.peer_endpoint == local_entry_.peer_endpoint) {
    return false;
  }
  std::vector<InstanceId> older;
  for (const auto& [id, peer] : peers_) {
    if (id == record.id || peer.record.peer_endpoint != record.peer_endpoint) {
      continue;
    }
    const bool is_in_reach = peer.has_responded && !peer.is_unreachable;
    if (peer.position > position ||
        (source == RecordSource::kRestored && is_in_reach)) {
      return false;
    }
    older.push_back(id);
  }
  for (const InstanceId& id : older) {
    kLog.Info("Entry {} was replaced by entry {} at its address.", id.value(),
              record.id.value());
    peers_.erase(id);
    observer_.OnPeerWorkReset(id);
  }
  return true;
}

void PeerStateExchange::Update(const std::string& key,
                               const EntryRecord& record,
                               const StorePosition& position,
                               RecordSource source) {
  if (!ReplaceOlderPeers(record, position, source)) {
    return;
  }
  const bool is_new = !peers_.contains(record.id);
  Peer& peer = peers_[record.id];
  peer.position = position;
  peer.unlisted_since.reset();
  peer.record = record;
  peer.keys.insert(key);
  if (is_new) {
    kLog.Info("Entry {} is listed at {}.", record.id.value(),
              ToString(record.peer_endpoint));
    // The heartbeat timeout counts from now.
    peer.last_message_at = clock_.Now();
    CheckPeersSoon();
  }
}

void PeerStateExchange::Remove(const std::string& key, bool is_confirmed) {
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    Peer& peer = it->second;
    if (peer.keys.erase(key) == 0) {
      continue;
    }
    if (peer.keys.empty() && !is_confirmed && peer.has_responded &&
        !peer.is_unreachable) {
      peer.unlisted_since = clock_.Now();
      return;
    }
    if (peer.keys.empty()) {
      const InstanceId id = it->first;
      kLog.Info("Entry {} is no longer listed.", id.value());
      peers_.erase(it);
      observer_.OnPeerWorkReset(id);
    }
    return;
  }
}

void PeerStateExchange::BroadcastWork(WorkNote note) {
  pending_notes_.push_back(std::move(note));
  FlushSoon();
}

void PeerStateExchange::BroadcastSuspect(const EngineId& engine) {
  pending_suspects_.push_back(engine);
  FlushSoon();
}

void PeerStateExchange::BroadcastLeaving(const LeavingEngine& engine) {
  pending_leaving_.push_back(engine);
  recent_leaving_[engine] = clock_.Now();
  FlushSoon();
}

void PeerStateExchange::BroadcastLimit(const EngineLimit& limit) {
  pending_limits_.push_back(limit);
  FlushSoon();
}

void PeerStateExchange::BroadcastCrashEvidence(const CrashEvidence& evidence) {
  CrashEvidence& pending = pending_crash_evidence_;
  pending.crashes.insert(pending.crashes.end(), evidence.crashes.begin(),
                         evidence.crashes.end());
  pending.successes.insert(pending.successes.end(), evidence.successes.begin(),
                           evidence.successes.end());
  pending.survivals.insert(pending.survivals.end(), evidence.survivals.begin(),
                           evidence.survivals.end());
  FlushSoon();
}

void PeerStateExchange::BroadcastStoreChanges() {
  FlushSoon();
}

void PeerStateExchange::FlushSoon() {
  if (!flush_timer_) {
    flush_timer_ = clock_.RunAfter(kBatchDelay, [this] { Flush(false); });
  }
}

void PeerStateExchange::BroadcastState() {
  CheckPeersSoon();
  Flush(true);
}

std::vector<LeavingEngine> PeerStateExchange::ListRecentLeaving() {
  const MonotonicTime oldest = clock_.Now() - kRepeatTime;
  std::erase_if(recent_leaving_,
                [oldest](const auto& it) { return it.second < oldest; });
  if (recent_leaving_.empty()) {
    return {};
  }
  std::vector<LeavingEngine> leaving = observer_.ListLeavingEngines();
  std::erase_if(leaving, [this](const LeavingEngine& it) {
    return !recent_leaving_.contains(it);
  });
  return leaving;
}

WorkNotesMessage PeerStateExchange::MakeStateMessage() const {
  const LocalEntryState state = observer_.GetLocalState();
  WorkNotesMessage message;
  message.is_leaving = state.is_leaving;
  message.store_position = state.store_position;
  message.has_store = state.has_store;
  message.is_cut_off = state.is_cut_off;
  message.requests_per_second = state.requests_per_second;
  return message;
}

void PeerStateExchange::Flush(bool is_heartbeat) {
  flush_timer_.reset();
  WorkNotesMessage message = MakeStateMessage();
  message.leaving_engines =
      is_heartbeat ? ListRecentLeaving() : pending_leaving_;
  pending_leaving_.clear();
  message.store_changes = observer_.TakeStoreChanges();
  message.limits = std::exchange(pending_limits_, {});
  message.crash_evidence = std::exchange(pending_crash_evidence_, {});
  if (is_heartbeat) {
    message.crash_evidence.crashes =
        observer_.ListCrashEvidence(kRepeatTime).crashes;
  }
  const bool has_news =
      !message.leaving_engines.empty() || message.store_changes.has_value() ||
      !message.limits.empty() || !message.crash_evidence.empty();
  if (is_serving_ && (is_heartbeat || has_news)) {
    for (const auto& [id, peer] : peers_) {
      if (!peer.is_serving) {
        Send(peer.record.peer_endpoint, message);
      }
    }
  }
  message.notes = std::exchange(pending_notes_, {});
  message.suspects = std::exchange(pending_suspects_, {});
  for (const auto& [id, peer] : peers_) {
    if (peer.is_serving) {
      Send(peer.record.peer_endpoint, message);
    }
  }
}

void PeerStateExchange::DropUnlistedPeers() {
  const MonotonicTime now = clock_.Now();
  std::vector<InstanceId> dropped;
  for (const auto& [id, peer] : peers_) {
    if (peer.unlisted_since &&
        (peer.is_unreachable || now - *peer.unlisted_since > kUnlistedGrace)) {
      dropped.push_back(id);
    }
  }
  for (const InstanceId& id : dropped) {
    kLog.Info("Entry {} is no longer listed.", id.value());
    peers_.erase(id);
    observer_.OnPeerWorkReset(id);
  }
}

void PeerStateExchange::SendHeartbeat() {
  const MonotonicTime now = clock_.Now();
  for (auto& [id, peer] : peers_) {
    if (!peer.has_complete_work && IsReceiver(peer)) {
      RequestCompleteWork(peer);
    }
    if (!peer.is_unreachable && IsReceiver(peer) &&
        now - peer.last_message_at > kHeartbeatTimeout) {
      peer.is_unreachable = true;
      peer.has_complete_work = false;
      kLog.Warning(
          "Entry {} has sent no message for {} ms and counts as unreachable.",
          id.value(), (now - peer.last_message_at).count() / 1000);
      observer_.OnPeerWorkReset(id);
    }
  }
  DropUnlistedPeers();
  Flush(true);
  heartbeat_timer_ =
      clock_.RunAfter(kHeartbeatInterval, [this] { SendHeartbeat(); });
}

void PeerStateExchange::Send(const Endpoint& peer, PeerPayload payload) {
  PeerMessage message;
  message.sender = local_entry_.id;
  message.payload = std::move(payload);
  link_.Send(peer, message);
}

PeerStateExchange::Peer* PeerStateExchange::FindPeer(const InstanceId& id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

void PeerStateExchange::Receive(const PeerMessage& message) {
  Peer* const peer = FindPeer(message.sender);
  if (peer == nullptr) {
    // Drops the message: the sender is not listed here yet.
    return;
  }
  peer->last_message_at = clock_.Now();
  peer->has_responded = true;
  peer->is_unreachable = false;
  if (const auto* notes = std::get_if<WorkNotesMessage>(&message.payload)) {
    HandleWorkNotes(message.sender, *notes);
  } else if (const auto* request =
                 std::get_if<StoreStateRequestMessage>(&message.payload)) {
    Send(peer->record.peer_endpoint, observer_.StateAfter(*request));
  } else if (const auto* reply =
                 std::get_if<StoreStateReplyMessage>(&message.payload)) {
    store_request_sent_at_.reset();
    ApplyStoreState(*peer, *reply);
    CatchUp();
  }
}

void PeerStateExchange::HandleWorkNotes(const InstanceId& sender,
                                        const WorkNotesMessage& message) {
  Peer& peer = *FindPeer(sender);
  if (message.is_complete) {
    peer.has_complete_work = true;
    observer_.OnPeerWorkReset(sender);
  }
  for (const WorkNote& it : message.notes) {
    observer_.OnPeerWork(sender, it);
  }
  for (const EngineId& it : message.suspects) {
    observer_.OnSuspectReported(it);
  }
  for (const LeavingEngine& it : message.leaving_engines) {
    observer_.OnLeavingReported(it);
  }
  for (const EngineLimit& it : message.limits) {
    observer_.OnLimitReported(it);
  }
  if (!message.crash_evidence.empty()) {
    observer_.OnCrashEvidence(message.crash_evidence);
  }
  peer.is_leaving = message.is_leaving;
  if (std::exchange(peer.has_store, message.has_store) && !message.has_store) {
    // Another entry may have to read the store in its place.
    CheckPeersSoon();
  }
  peer.store_position = message.store_position;
  peer.is_cut_off = message.is_cut_off;
  peer.requests_per_second = message.requests_per_second;
  if (message.store_changes) {
    ApplyStoreState(peer, *message.store_changes);
  }
  if (message.wants_complete) {
    SendCompleteWork(peer);
  }
  HandleStorePosition(peer);
}

void PeerStateExchange::SendCompleteWork(const Peer& peer) {
  // ListLocalWork() includes the notes that wait in the batch.
  WorkNotesMessage message = MakeStateMessage();
  message.is_complete = true;
  message.notes = observer_.ListLocalWork();
  message.leaving_engines = observer_.ListLeavingEngines();
  message.limits = observer_.ListLimits();
  message.crash_evidence =
      observer_.ListCrashEvidence(WorkQuarantine::kQuarantineTime);
  Send(peer.record.peer_endpoint, std::move(message));
}

std::size_t PeerStateExchange::CountEntries() const {
  return peers_.size() + 1;
}

}  // namespace kingcupdrift
