// Measures the traffic, processor time and memory of membership for each
// instance, against the number of instances.

#include <memory>

#include "bench/capacity/scaling_measurement.h"
#include "kingcupdrift/membership/membership.h"
#include "kingcupdrift/net/internal/peer_codec.h"
#include "tests/fakes/fake_instance_list.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr double kPlannedInstances = 330;
constexpr int kUsageRows = 16;
constexpr Duration kWarmUp = std::chrono::seconds(60);
constexpr Duration kMeasured = std::chrono::seconds(60);
/// Bytes of a frame's length prefix and authentication code, and of its TCP/IP
/// headers.
constexpr std::size_t kFrameOverhead = 4 + 32 + 40;

/// Delivers messages without latency and counts their encoded bytes.
class CountingNetwork {
 public:
  class Link : public PeerLink {
   public:
    Link(CountingNetwork& network, Endpoint local)
        : network_(network), local_(std::move(local)) {
      network_.links_[local_] = this;
    }
    void Send(const Endpoint& peer, const PeerMessage& message) override {
      network_.Send(peer, message);
    }
    void SetReceiver(Receiver receiver) override {
      receiver_ = std::move(receiver);
    }

   private:
    friend class CountingNetwork;
    CountingNetwork& network_;
    Endpoint local_;
    Receiver receiver_;
  };

  explicit CountingNetwork(Clock& clock) : deliveries_(clock) {}

  void Send(const Endpoint& peer, const PeerMessage& message) {
    const std::string frame = EncodePeerMessage(message);
    bytes_ += frame.size() + kFrameOverhead;
    const auto it = links_.find(peer);
    if (it == links_.end()) {
      return;
    }
    deliveries_.Run([link = it->second, frame] {
      const auto decoded = DecodePeerFrame(frame);
      if (decoded && *decoded) {
        link->receiver_(**decoded);
      }
    });
  }

  std::size_t bytes() const { return bytes_; }

 private:
  std::map<Endpoint, Link*> links_;
  DeferredTaskRunner deliveries_;
  std::size_t bytes_ = 0;
};

struct Node {
  Node(int index,
       Clock& clock,
       CountingNetwork& network,
       fakes::InstanceListModel& list_model)
      : random(kSeed + static_cast<std::uint64_t>(index)),
        hybrid_clock(clock),
        list(list_model, clock) {
    MemberRecord self;
    self.id = InstanceId(fmt::format("great-lakes-{:04}", index));
    self.incarnation = Incarnation(1);
    self.peer_endpoint =
        Endpoint{"10.20.0.1", static_cast<std::uint16_t>(1000 + index)};
    self.caller_endpoint = self.peer_endpoint;
    self.failure_domain = FailureDomain("gl-a");
    link = std::make_unique<CountingNetwork::Link>(network, self.peer_endpoint);
    membership = std::make_unique<Membership>(
        self, MembershipOptions(), clock, random, hybrid_clock, *link, list);
    link->SetReceiver(
        [this](const PeerMessage& message) { membership->OnMessage(message); });
    membership->SetFillGossip([](GossipMessage& gossip) {
      for (int i = 0; i < kUsageRows; ++i) {
        gossip.usage.push_back(
            {WorkspaceId(fmt::format("workspace-{:05}", i)), 1000, 1000000});
      }
    });
  }

  SeededRandom random;
  HybridClock hybrid_clock;
  fakes::FakeInstanceList list;
  std::unique_ptr<CountingNetwork::Link> link;
  std::unique_ptr<Membership> membership;
};

struct Measurement {
  double bytes_per_second = 0;
  double core_share = 0;
  double heap_bytes = 0;
  double known_share = 0;
};

Measurement MeasureFleet(int count) {
  fakes::ManualClock clock;
  CountingNetwork network(clock);
  fakes::InstanceListModel list(std::chrono::seconds(5), clock);
  const std::size_t heap_before = HeapBytes();
  std::vector<std::unique_ptr<Node>> nodes;
  nodes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    nodes.push_back(std::make_unique<Node>(i, clock, network, list));
  }
  for (const auto& it : nodes) {
    it->membership->Start({nodes.front()->membership->self().peer_endpoint});
  }
  clock.Advance(kWarmUp);
  const std::size_t bytes_before = network.bytes();
  const double cpu_before = CpuSeconds();
  clock.Advance(kMeasured);
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  const double node_seconds = seconds * count;
  Measurement measurement;
  // Each byte is sent by one node and received by another, so traffic in and
  // out is twice the bytes sent.
  measurement.bytes_per_second =
      2 * static_cast<double>(network.bytes() - bytes_before) / node_seconds;
  measurement.core_share = (CpuSeconds() - cpu_before) / node_seconds;
  measurement.heap_bytes =
      static_cast<double>(HeapBytes() - heap_before) / count;
  std::size_t known = 0;
  for (const auto& it : nodes) {
    known += it->membership->ListServingMembers().size();
  }
  measurement.known_share =
      static_cast<double>(known) / (static_cast<double>(count) * count);
  return measurement;
}

}  // namespace

std::vector<ScalingMeasurement> MeasureMembership() {
  const std::string part = "membership";
  ScalingMeasurement bytes{part, "peer traffic in and out", "B/s", "instance",
                           {},   kPlannedInstances};
  ScalingMeasurement cpu{part,
                         "processor time, codec included",
                         "% of a core",
                         "instance",
                         {},
                         kPlannedInstances};
  ScalingMeasurement heap{part, "heap", "B", "instance", {}, kPlannedInstances};
  ScalingMeasurement known{part,    "share of instances known after 120 s",
                           "share", "instance",
                           {},      kPlannedInstances};
  for (const int count : {8, 80, 330}) {
    const Measurement measurement = MeasureFleet(count);
    bytes.samples.push_back(
        {static_cast<double>(count), measurement.bytes_per_second});
    cpu.samples.push_back(
        {static_cast<double>(count), 100 * measurement.core_share});
    heap.samples.push_back(
        {static_cast<double>(count), measurement.heap_bytes});
    known.samples.push_back(
        {static_cast<double>(count), measurement.known_share});
  }
  return {bytes, cpu, heap, known};
}

}  // namespace kingcupdrift
