// Which entries (serving processes) serve, and what follows from it.

#include <algorithm>
#include <set>
#include <utility>

#include "kingcupdrift/forwarding/peer_state_exchange.h"
#include "kingcupdrift/forwarding/serving_group.h"

namespace kingcupdrift {
namespace {

const Logger kLog("entries");

}  // namespace

void PeerStateExchange::UpdateServingGroup() {
  const LocalEntryState local = observer_.GetLocalState();
  std::vector<ServingCandidate> candidates;
  candidates.reserve(peers_.size() + 1);
  // An entry that reaches no engine is replaced like one out of reach, unless
  // all are such.
  const bool has_engines =
      !local.is_cut_off ||
      std::any_of(peers_.begin(), peers_.end(), [](const auto& it) {
        return !it.second.is_cut_off && !it.second.is_unreachable &&
               !it.second.is_leaving;
      });
  if (!local.is_leaving && !(local.is_cut_off && has_engines)) {
    candidates.push_back(
        {local_entry_.id, local_entry_.failure_domain, local_entry_.cores});
  }
  double requests_per_second = local.requests_per_second;
  for (const auto& [id, peer] : peers_) {
    if (!peer.is_leaving && !peer.is_unreachable &&
        !(peer.is_cut_off && has_engines)) {
      candidates.push_back({id, peer.record.failure_domain, peer.record.cores});
      requests_per_second += peer.requests_per_second;
    }
  }
  const std::set<InstanceId> group =
      ChooseServingGroup(std::move(candidates), requests_per_second);
  const bool was_serving =
      std::exchange(is_serving_, group.contains(local_entry_.id) ||
                                     local.is_leaving || local.is_cut_off);
  for (auto& [id, peer] : peers_) {
    const bool was_expected = was_serving || peer.is_serving;
    peer.is_serving = group.contains(id);
    if (!was_expected && IsReceiver(peer)) {
      // Both sides send to each other from now on.
      peer.last_message_at = clock_.Now();
    }
  }
  if (was_serving != is_serving_) {
    kLog.Info("This entry {} now, with {} others of {} listed peers.",
              is_serving_ ? "serves" : "is in reserve",
              group.size() - group.count(local_entry_.id), peers_.size());
  }
}

void PeerStateExchange::CheckPeersSoon() {
  if (!std::exchange(is_check_due_, true)) {
    check_timer_ = clock_.RunAfter(Duration::zero(), [this] { CheckPeers(); });
  }
}

void PeerStateExchange::CheckPeers() {
  is_check_due_ = false;
  UpdateServingGroup();
  const MonotonicTime now = clock_.Now();
  std::vector<ReaderCandidate> recent;
  for (const auto& [id, peer] : peers_) {
    if (peer.is_serving && now - peer.last_message_at <= kRecentMessageAge) {
      recent.push_back(
          {id, peer.record.failure_domain, peer.has_store, peer.record.cores});
    }
    if (!peer.has_responded && !peer.was_contacted && IsReceiver(peer)) {
      RequestCompleteWork(peer);
    }
  }
  for (auto& [id, peer] : peers_) {
    peer.was_contacted = peer.was_contacted || IsReceiver(peer);
  }
  observer_.OnPeersChecked(recent, is_serving_);
  check_timer_ =
      clock_.RunAfter(kReaderCheckInterval, [this] { CheckPeers(); });
}

std::vector<Endpoint> PeerStateExchange::ListCallerEndpoints() const {
  std::vector<Endpoint> endpoints = ListCallerEndpoints(false);
  return endpoints.empty() ? ListCallerEndpoints(true) : endpoints;
}

std::vector<Endpoint> PeerStateExchange::ListCallerEndpoints(
    bool with_cut_off) const {
  const LocalEntryState local = observer_.GetLocalState();
  const bool is_leaving =
      local.is_leaving || (local.is_cut_off && !with_cut_off);
  std::vector<Endpoint> endpoints;
  if (!is_leaving && is_serving_) {
    endpoints.push_back(local_entry_.caller_endpoint);
  }
  for (const auto& [id, peer] : peers_) {
    if (peer.is_serving && peer.has_responded && !peer.is_unreachable &&
        !peer.is_leaving && (with_cut_off || !peer.is_cut_off)) {
      endpoints.push_back(peer.record.caller_endpoint);
    }
  }
  if (endpoints.size() <= 1) {
    // At most one endpoint is in reach: this entry may be the one that is cut
    // off.
    if (!is_leaving && !is_serving_) {
      endpoints.push_back(local_entry_.caller_endpoint);
    }
    for (const auto& [id, peer] : peers_) {
      if (peer.is_unreachable && !peer.is_leaving) {
        endpoints.push_back(peer.record.caller_endpoint);
      }
    }
  }
  return endpoints;
}

std::vector<RelayPeer> PeerStateExchange::ListRelayPeers() const {
  std::vector<RelayPeer> relays;
  for (const auto& [id, peer] : peers_) {
    if (peer.is_serving && peer.has_responded && !peer.is_unreachable &&
        !peer.is_leaving && !peer.is_cut_off) {
      relays.push_back(
          {id, peer.record.caller_endpoint, peer.record.failure_domain});
    }
  }
  return relays;
}

std::vector<InstanceId> PeerStateExchange::ListSendingEntries() const {
  std::vector<InstanceId> sending;
  std::vector<InstanceId> listed = {local_entry_.id};
  if (is_serving_ && !observer_.GetLocalState().is_leaving) {
    sending.push_back(local_entry_.id);
  }
  for (const auto& [id, peer] : peers_) {
    listed.push_back(id);
    if (peer.is_serving && !peer.is_leaving && !peer.is_unreachable &&
        peer.has_responded) {
      sending.push_back(id);
    }
  }
  const std::size_t group = std::min(listed.size(), kMinServingGroupSize);
  return 2 * sending.size() < group ? listed : sending;
}

std::size_t PeerStateExchange::CountLimitShares() const {
  const std::size_t listed = CountEntries();
  if (listed <= kMinServingGroupSize) {
    return listed;
  }
  const auto serving = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [](const auto& it) {
        return it.second.is_serving && it.second.has_responded;
      }));
  if (!is_serving_ || serving < kMinServingGroupSize / 2) {
    return 2 * listed;
  }
  return 2 * std::max(kMinServingGroupSize, serving + 1);
}

}  // namespace kingcupdrift
