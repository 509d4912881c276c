#include "kingcupdrift/forwarding/entry_board.h"

#include <utility>
#include <variant>

#include "kingcupdrift/api/json_fields.h"

namespace kingcupdrift {
namespace {

const Logger kLog("entries");

}  // namespace

std::string EncodeEntryRecord(const EntryRecord& record) {
  return ToJson({{"instance", record.id.value()},
                 {"peers", ToString(record.peer_endpoint)},
                 {"callers", ToString(record.caller_endpoint)},
                 {"failure_domain", record.failure_domain.value()}});
}

Result<EntryRecord> DecodeEntryRecord(const std::string& text) {
  const nlohmann::json record = ParseJson(text);
  const auto peers = ParseEndpoint(TextField(record, "peers"));
  const auto callers = ParseEndpoint(TextField(record, "callers"));
  const std::string id = TextField(record, "instance");
  if (!peers || !callers || id.empty()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "the record of an entry is not valid");
  }
  return EntryRecord{InstanceId(id), *peers, *callers,
                     FailureDomain(TextField(record, "failure_domain"))};
}

EntryBoard::EntryBoard(Clock& clock,
                       PeerLink& link,
                       EntryRecord own,
                       EntryBoardObserver& observer)
    : clock_(clock), link_(link), own_(std::move(own)), observer_(observer) {
  link_.SetReceiver([this](const PeerMessage& message) { Receive(message); });
}

void EntryBoard::Start() {
  Tick();
}

bool EntryBoard::ReplaceAt(const EntryRecord& record, StoreVersion version) {
  if (record.peer_endpoint == own_.peer_endpoint) {
    return false;
  }
  std::vector<InstanceId> older;
  for (const auto& [id, peer] : peers_) {
    if (id == record.id || peer.record.peer_endpoint != record.peer_endpoint) {
      continue;
    }
    if (peer.version > version) {
      return false;
    }
    older.push_back(id);
  }
  for (const InstanceId& id : older) {
    kLog.Info("Entry {} is replaced by {}.", id.value(), record.id.value());
    peers_.erase(id);
    observer_.OnEntryLost(id);
  }
  return true;
}

void EntryBoard::Update(const std::string& key,
                        const EntryRecord& record,
                        StoreVersion version) {
  if (!ReplaceAt(record, version)) {
    return;
  }
  Peer& peer = peers_[record.id];
  peer.version = version;
  const bool is_new = peer.keys.empty();
  peer.record = record;
  peer.keys.insert(key);
  if (is_new) {
    kLog.Info("Entry {} listed at {}.", record.id.value(),
              ToString(record.peer_endpoint));
    // Its first words are awaited from now on.
    peer.last_heard = clock_.Now();
    WorkNotesMessage message = StateMessage();
    message.wants_complete = true;
    Send(record.peer_endpoint, std::move(message));
  }
}

void EntryBoard::Remove(const std::string& key) {
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    if (it->second.keys.erase(key) == 0) {
      continue;
    }
    if (it->second.keys.empty()) {
      const InstanceId id = it->first;
      kLog.Info("Entry {} is no longer listed.", id.value());
      peers_.erase(it);
      observer_.OnEntryLost(id);
    }
    return;
  }
}

void EntryBoard::Announce(WorkNote note) {
  pending_.push_back(std::move(note));
  FlushSoon();
}

void EntryBoard::AnnounceSuspect(const EngineId& engine) {
  suspects_.push_back(engine);
  FlushSoon();
}

void EntryBoard::FlushSoon() {
  if (!flush_timer_) {
    flush_timer_ = clock_.RunAfter(kBatchDelay, [this] { Flush(); });
  }
}

void EntryBoard::AnnounceState() {
  Flush();
}

WorkNotesMessage EntryBoard::StateMessage() const {
  const OwnState state = observer_.CurrentState();
  WorkNotesMessage message;
  message.is_leaving = state.is_leaving;
  message.store_version = state.store_version;
  message.has_store = state.has_store;
  return message;
}

void EntryBoard::Flush() {
  flush_timer_.reset();
  WorkNotesMessage message = StateMessage();
  message.notes = std::exchange(pending_, {});
  message.suspects = std::exchange(suspects_, {});
  for (const auto& [id, peer] : peers_) {
    Send(peer.record.peer_endpoint, message);
  }
}

void EntryBoard::Tick() {
  const MonotonicTime now = clock_.Now();
  for (auto& [id, peer] : peers_) {
    if (!peer.has_complete) {
      WorkNotesMessage message = StateMessage();
      message.wants_complete = true;
      Send(peer.record.peer_endpoint, std::move(message));
    }
    if (!peer.is_lost && now - peer.last_heard > kSilenceLimit) {
      peer.is_lost = true;
      peer.has_complete = false;
      kLog.Warning("Entry {} has been silent for {} ms.", id.value(),
                   (now - peer.last_heard).count() / 1000);
      observer_.OnEntryLost(id);
    }
  }
  Flush();
  tick_timer_ = clock_.RunAfter(kStateInterval, [this] { Tick(); });
}

void EntryBoard::Send(const Endpoint& peer, PeerPayload payload) {
  PeerMessage message;
  message.sender = own_.id;
  message.payload = std::move(payload);
  link_.Send(peer, message);
}

EntryBoard::Peer* EntryBoard::FindPeer(const InstanceId& id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

void EntryBoard::Receive(const PeerMessage& message) {
  Peer* const peer = FindPeer(message.sender);
  if (peer == nullptr) {
    // Not listed here yet; its next message counts.
    return;
  }
  peer->last_heard = clock_.Now();
  peer->is_heard = true;
  peer->is_lost = false;
  if (const auto* notes = std::get_if<WorkNotesMessage>(&message.payload)) {
    TakeNotes(message.sender, *notes);
  } else if (const auto* request =
                 std::get_if<StoreStateRequestMessage>(&message.payload)) {
    Send(peer->record.peer_endpoint, observer_.StateAfter(request->version));
  } else if (const auto* reply =
                 std::get_if<StoreStateReplyMessage>(&message.payload)) {
    behind_since_.reset();
    observer_.OnState(*reply);
  }
}

void EntryBoard::TakeNotes(const InstanceId& sender,
                           const WorkNotesMessage& message) {
  Peer& peer = *FindPeer(sender);
  if (message.is_complete) {
    peer.has_complete = true;
    observer_.OnEntryLost(sender);
  }
  for (const WorkNote& it : message.notes) {
    observer_.OnWork(sender, it);
  }
  for (const EngineId& it : message.suspects) {
    observer_.OnSuspicion(it);
  }
  peer.is_leaving = message.is_leaving;
  if (message.wants_complete) {
    SendCompleteWork(peer);
  }
  AskIfBehind(peer, message);
}

void EntryBoard::SendCompleteWork(const Peer& peer) {
  // What waits to be told is among the own work already.
  WorkNotesMessage message = StateMessage();
  message.is_complete = true;
  message.notes = observer_.OwnWork();
  Send(peer.record.peer_endpoint, std::move(message));
}

void EntryBoard::AskIfBehind(const Peer& peer,
                             const WorkNotesMessage& message) {
  const StoreVersion own = observer_.CurrentState().store_version;
  if (!message.has_store || message.store_version <= own) {
    // Only the peer that is furthest ahead tells that this entry has caught up.
    if (message.has_store && message.store_version == own) {
      behind_since_.reset();
    }
    return;
  }
  const MonotonicTime now = clock_.Now();
  if (!behind_since_) {
    behind_since_ = now;
    return;
  }
  if (now - *behind_since_ >= kMaxLag) {
    behind_since_ = now;
    kLog.Info("Entry {} has version {} of the store, this entry {}; asking.",
              peer.record.id.value(), message.store_version.value(),
              own.value());
    Send(peer.record.peer_endpoint, StoreStateRequestMessage{own});
  }
}

std::vector<Endpoint> EntryBoard::CallerEndpoints() const {
  std::vector<Endpoint> endpoints;
  if (!observer_.CurrentState().is_leaving) {
    endpoints.push_back(own_.caller_endpoint);
  }
  for (const auto& [id, peer] : peers_) {
    if (peer.is_heard && !peer.is_lost && !peer.is_leaving) {
      endpoints.push_back(peer.record.caller_endpoint);
    }
  }
  if (endpoints.size() <= 1) {
    // Nobody is in reach: this entry may be the one that is cut off.
    for (const auto& [id, peer] : peers_) {
      if (peer.is_lost && !peer.is_leaving) {
        endpoints.push_back(peer.record.caller_endpoint);
      }
    }
  }
  return endpoints;
}

std::size_t EntryBoard::EntryCount() const {
  return peers_.size() + 1;
}

}  // namespace kingcupdrift
