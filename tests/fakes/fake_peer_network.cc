#include "tests/fakes/fake_peer_network.h"

#include <algorithm>
#include <variant>

namespace kingcupdrift::fakes {
namespace {

std::uint64_t CountStoreBytes(const PeerMessage& message) {
  std::uint64_t bytes = 0;
  const auto add = [&bytes](const StoreStateReplyMessage& state) {
    for (const StoreStateItem& it : state.items) {
      bytes += it.value ? it.value->size() : 0;
    }
    for (const StoreStatePatch& it : state.patches) {
      bytes += it.data.size();
    }
  };
  if (const auto* const it =
          std::get_if<StoreStateReplyMessage>(&message.payload)) {
    add(*it);
  }
  const auto* const notes = std::get_if<WorkNotesMessage>(&message.payload);
  if (notes != nullptr && notes->store_changes) {
    add(*notes->store_changes);
  }
  return bytes;
}

}  // namespace

void FakePeerNetwork::Send(const Endpoint& sender,
                           const Endpoint& receiver,
                           const PeerMessage& message) {
  ++messages_;
  const std::uint64_t bytes = CountStoreBytes(message);
  store_bytes_ += bytes;
  if (cuts_.contains({sender, receiver})) {
    return;
  }
  Duration delay = latency_;
  if (bytes_per_second_ > 0) {
    MonotonicTime& busy_until = busy_until_[sender];
    busy_until = std::max(busy_until, clock_.Now()) +
                 Duration(static_cast<Duration::rep>(bytes * 1'000'000 /
                                                     bytes_per_second_));
    delay += busy_until - clock_.Now();
  }
  in_flight_.Post(delay, [this, receiver, message] {
    const auto it = links_.find(receiver);
    if (it != links_.end()) {
      it->second->Receive(message);
    }
  });
}

FakePeerLink::FakePeerLink(Endpoint local,
                           FakePeerNetwork& network,
                           Clock& clock)
    : local_(std::move(local)), network_(network), inbox_(clock) {
  network_.links_[local_] = this;
}

FakePeerLink::~FakePeerLink() {
  const auto it = network_.links_.find(local_);
  if (it != network_.links_.end() && it->second == this) {
    network_.links_.erase(it);
  }
}

void FakePeerLink::Send(const Endpoint& peer, const PeerMessage& message) {
  if (!is_closed_) {
    network_.Send(local_, peer, message);
  }
}

void FakePeerLink::Receive(const PeerMessage& message) {
  inbox_.Post(Duration::zero(), [this, message] {
    if (receiver_) {
      receive_hook_();
      receiver_(message);
    }
  });
}

}  // namespace kingcupdrift::fakes
