// How an entry (a serving process) catches up with peers that have newer
// contents of the platform's store.

#include <algorithm>
#include <vector>

#include "kingcupdrift/forwarding/peer_state_exchange.h"

namespace kingcupdrift {
namespace {

const Logger kLog("entries");

}  // namespace

void PeerStateExchange::HandleStorePosition(const Peer& peer) {
  const StorePosition local = observer_.GetLocalState().store_position;
  if (!peer.has_store || peer.store_position <= local) {
    return;
  }
  if (peer.store_position.era > local.era && !behind_since_) {
    // The whole contents may differ. One peer could not send them to all.
    StoreStateReplyMessage notice;
    notice.position = peer.store_position;
    notice.changes_after = peer.store_position;
    observer_.OnState(notice);
  }
  if (!catch_up_timer_) {
    CatchUp();
  }
}

bool PeerStateExchange::IsBehind(const LocalEntryState& local) const {
  return std::any_of(peers_.begin(), peers_.end(), [&local](const auto& it) {
    return it.second.has_store && !it.second.is_unreachable &&
           it.second.store_position > local.store_position;
  });
}

void PeerStateExchange::CatchUp() {
  catch_up_timer_.reset();
  const LocalEntryState local = observer_.GetLocalState();
  if (!IsBehind(local)) {
    behind_since_.reset();
    return;
  }
  const MonotonicTime now = clock_.Now();
  if (!behind_since_ || behind_position_ != local.store_position) {
    behind_since_ = now;
    behind_position_ = local.store_position;
  }
  Duration wait = kFollowerRequestDelay;
  if (local.is_listing) {
    wait = kOwnListingTime;
  } else if (local.has_store) {
    wait = kStoreRequestDelay;
  }
  if (now - *behind_since_ >= wait && !IsStoreRequestPending()) {
    if (const Peer* const peer = ChooseUpToDatePeer()) {
      behind_since_ = now;
      RequestStoreState(*peer);
    }
  }
  // A listing in progress may fail, after which less time is to pass.
  catch_up_timer_ =
      clock_.RunAfter(kFollowerRequestDelay, [this] { CatchUp(); });
}

const PeerStateExchange::Peer* PeerStateExchange::ChooseUpToDatePeer() const {
  StorePosition newest;
  std::vector<const Peer*> candidates;
  for (const auto& [id, peer] : peers_) {
    if (peer.is_unreachable || !peer.has_responded ||
        peer.store_position < newest) {
      continue;
    }
    if (peer.store_position > newest) {
      newest = peer.store_position;
      candidates.clear();
    }
    candidates.push_back(&peer);
  }
  if (candidates.empty() ||
      newest <= observer_.GetLocalState().store_position) {
    return nullptr;
  }
  return candidates[(FastHash(local_entry_.id.value()) + store_requests_) %
                    candidates.size()];
}

void PeerStateExchange::ApplyStoreState(const Peer& peer,
                                        const StoreStateReplyMessage& state) {
  const PeerStateResult result = observer_.OnState(state);
  accepts_patches_ = result != PeerStateResult::kWrongPatch;
  // A listing in progress brings what is missing. Asking for it with each
  // change that arrives meanwhile would cost more than the listing.
  if (result != PeerStateResult::kApplied && !IsStoreRequestPending() &&
      !observer_.GetLocalState().is_listing) {
    RequestStoreState(peer);
  }
}

bool PeerStateExchange::IsStoreRequestPending() const {
  return store_request_sent_at_ &&
         clock_.Now() - *store_request_sent_at_ < kStoreRequestTimeout;
}

void PeerStateExchange::RequestStoreState(const Peer& peer) {
  ++store_requests_;
  store_request_sent_at_ = clock_.Now();
  const StorePosition local = observer_.GetLocalState().store_position;
  kLog.Info("Requesting the store's contents after era {}, version {} of {}.",
            local.era.value(), local.version.value(), peer.record.id.value());
  Send(peer.record.peer_endpoint,
       StoreStateRequestMessage{local, true, accepts_patches_});
}

}  // namespace kingcupdrift
