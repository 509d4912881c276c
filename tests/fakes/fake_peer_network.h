#ifndef TESTS_FAKES_FAKE_PEER_NETWORK_H_
#define TESTS_FAKES_FAKE_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/delayed_task_runner.h"

namespace kingcupdrift::fakes {

class FakePeerLink;

/// Carries messages between the entries (serving processes) of a test.
class FakePeerNetwork {
 public:
  FakePeerNetwork(Duration latency, Clock& clock)
      : latency_(latency), clock_(clock), in_flight_(clock) {}

  /// Drops messages from `sender` to `receiver`; the other direction still
  /// works.
  void CutOneWay(const Endpoint& sender, const Endpoint& receiver) {
    cuts_.emplace(sender, receiver);
  }
  void Cut(const Endpoint& a, const Endpoint& b) {
    CutOneWay(a, b);
    CutOneWay(b, a);
  }
  void HealAll() { cuts_.clear(); }

  /// Bytes a second that each entry's link carries; only the store's values
  /// count. Messages leave in the order in which they were sent.
  void SetLinkRate(std::uint64_t bytes_per_second) {
    bytes_per_second_ = bytes_per_second;
  }

  /// Number of messages sent, dropped ones included.
  std::uint64_t messages() const { return messages_; }
  /// Bytes of the store's values in messages since `ResetBytes`.
  std::uint64_t store_bytes() const { return store_bytes_; }
  void ResetBytes() { store_bytes_ = 0; }

 private:
  friend class FakePeerLink;

  void Send(const Endpoint& sender,
            const Endpoint& receiver,
            const PeerMessage& message);

  Duration latency_;
  Clock& clock_;
  // Zero for no limit.
  std::uint64_t bytes_per_second_ = 0;
  // Time until which each sender's link is occupied.
  std::map<Endpoint, MonotonicTime> busy_until_;
  std::map<Endpoint, FakePeerLink*> links_;
  std::set<std::pair<Endpoint, Endpoint>> cuts_;
  std::uint64_t messages_ = 0;
  std::uint64_t store_bytes_ = 0;
  DelayedTaskRunner in_flight_;
};

/// One entry's link. `clock` is the clock of that entry, so that a frozen entry
/// receives its messages when it is thawed.
class FakePeerLink : public PeerLink {
 public:
  FakePeerLink(Endpoint local, FakePeerNetwork& network, Clock& clock);
  ~FakePeerLink() override;

  /// Marks the process as dead: it sends nothing from now on.
  void Close() { is_closed_ = true; }

  void Send(const Endpoint& peer, const PeerMessage& message) override;
  void SetReceiver(Receiver receiver) override {
    receiver_ = std::move(receiver);
  }
  /// `hook` is called before each message is received.
  void SetReceiveHook(std::function<void()> hook) {
    receive_hook_ = std::move(hook);
  }

 private:
  friend class FakePeerNetwork;

  void Receive(const PeerMessage& message);

  Endpoint local_;
  FakePeerNetwork& network_;
  Receiver receiver_;
  std::function<void()> receive_hook_ = [] {};
  bool is_closed_ = false;
  DelayedTaskRunner inbox_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_FAKE_PEER_NETWORK_H_
