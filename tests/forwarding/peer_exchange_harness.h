#ifndef TESTS_FORWARDING_PEER_EXCHANGE_HARNESS_H_
#define TESTS_FORWARDING_PEER_EXCHANGE_HARNESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "kingcupdrift/forwarding/peer_state_exchange.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {

/// Delivers messages between entries in a later turn of the event loop, unless
/// the sender or the receiver is disconnected.
class TestPeerNetwork {
 public:
  explicit TestPeerNetwork(Clock& clock) : deferred_(clock) {}

  class Link : public PeerLink {
   public:
    Link(TestPeerNetwork& network, Endpoint endpoint)
        : network_(network), endpoint_(std::move(endpoint)) {}
    void Send(const Endpoint& peer, const PeerMessage& message) override {
      network_.Deliver(endpoint_, peer, message);
    }
    void SetReceiver(Receiver receiver) override {
      network_.receivers_[endpoint_] = std::move(receiver);
    }

   private:
    TestPeerNetwork& network_;
    Endpoint endpoint_;
  };

  void Deliver(const Endpoint& from,
               const Endpoint& to,
               const PeerMessage& message) {
    ++messages;
    if (const auto* const it =
            std::get_if<WorkNotesMessage>(&message.payload)) {
      notes += it->notes.size();
    }
    if (disconnected.contains(from) || disconnected.contains(to)) {
      return;
    }
    deferred_.Run([this, to, message] {
      if (const auto it = receivers_.find(to); it != receivers_.end()) {
        it->second(message);
      }
    });
  }

  std::set<Endpoint> disconnected;
  /// Messages sent, and the work notes in them.
  std::uint64_t messages = 0;
  std::uint64_t notes = 0;

 private:
  kingcupdrift::DeferredTaskRunner deferred_;
  std::map<Endpoint, PeerLink::Receiver> receivers_;
};

inline Endpoint PeerEndpoint(int number) {
  return {"10.0.0." + std::to_string(number), 7000};
}

inline EntryRecord Record(int number) {
  return {InstanceId("entry-" + std::to_string(number)),
          PeerEndpoint(number),
          {"10.0.0." + std::to_string(number), 8000},
          FailureDomain("a")};
}

/// One entry's peer state exchange, and everything that it received.
struct TestEntry : PeerStateObserver {
  TestEntry(TestPeerNetwork& network, Clock& clock, int number)
      : TestEntry(network, clock, Record(number)) {}
  TestEntry(TestPeerNetwork& network, Clock& clock, const EntryRecord& record)
      : link(network, record.peer_endpoint),
        peer_exchange(clock, link, record, *this) {}

  void OnPeerWork(const InstanceId& owner, const WorkNote& note) override {
    received_work.emplace_back(owner, note);
  }
  void OnSuspectReported(const EngineId& engine) override {
    suspects.push_back(engine);
  }
  void OnLeavingReported(const LeavingEngine& engine) override {
    leaving.push_back(engine);
  }
  std::vector<LeavingEngine> ListLeavingEngines() const override {
    return known_leaving;
  }
  void OnLimitReported(const EngineLimit& limit) override {
    limits.push_back(limit);
  }
  std::vector<EngineLimit> ListLimits() const override { return known_limits; }
  void OnCrashEvidence(const CrashEvidence& evidence) override {
    received_evidence.push_back(evidence);
  }
  CrashEvidence ListCrashEvidence(Duration max_age) const override {
    CrashEvidence listed;
    for (const EngineCrash& it : known_crashes) {
      if (it.age <= max_age) {
        listed.crashes.push_back(it);
      }
    }
    return listed;
  }
  std::vector<WorkNote> ListLocalWork() const override { return local_work; }
  void OnPeerWorkReset(const InstanceId& entry) override {
    reset_peers.push_back(entry);
  }
  LocalEntryState GetLocalState() const override { return state; }
  StoreStateReplyMessage StateAfter(const StoreStateRequestMessage&) override {
    StoreStateReplyMessage reply;
    reply.position = state.store_position;
    return reply;
  }
  std::optional<StoreStateReplyMessage> TakeStoreChanges() override {
    return std::exchange(changes, std::nullopt);
  }
  PeerStateResult OnState(const StoreStateReplyMessage& reply) override {
    if (reply.changes_after && *reply.changes_after > state.store_position) {
      return PeerStateResult::kGap;
    }
    state.store_position = reply.position;
    return PeerStateResult::kApplied;
  }
  void OnPeersChecked(const std::vector<ReaderCandidate>& recent,
                      bool) override {
    recent_peers = recent;
  }

  void AddPeer(int number, std::int64_t version = 1) {
    peer_exchange.Update(
        "key-" + std::to_string(number) + "-" + std::to_string(version),
        Record(number), {StoreEra(0), StoreVersion(version)});
  }

  std::vector<std::pair<InstanceId, WorkNote>> received_work;
  std::vector<InstanceId> reset_peers;
  std::vector<WorkNote> local_work;
  std::vector<EngineId> suspects;
  std::vector<LeavingEngine> leaving;
  std::vector<LeavingEngine> known_leaving;
  std::vector<EngineLimit> limits;
  std::vector<EngineLimit> known_limits;
  std::vector<CrashEvidence> received_evidence;
  std::vector<EngineCrash> known_crashes;
  std::optional<StoreStateReplyMessage> changes;
  std::vector<ReaderCandidate> recent_peers;
  LocalEntryState state{{StoreEra(0), StoreVersion(10)}, true, false};
  TestPeerNetwork::Link link;
  PeerStateExchange peer_exchange;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FORWARDING_PEER_EXCHANGE_HARNESS_H_
