#include "tests/fakes/fake_peer_network.h"

namespace kingcupdrift::fakes {

void FakePeerNetwork::Send(const Endpoint& sender,
                           const Endpoint& receiver,
                           const PeerMessage& message) {
  ++messages_;
  if (cuts_.contains({sender, receiver})) {
    return;
  }
  in_flight_.Post(latency_, [this, receiver, message] {
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
      receiver_(message);
    }
  });
}

}  // namespace kingcupdrift::fakes
