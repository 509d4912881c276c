#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "kingcupdrift/net/internal/peer_codec.h"
#include "kingcupdrift/net/net.h"
#include "tests/net/net_fixture.h"
#include "tests/net/paused_loop.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 7;

PeerMessage Gossip(std::size_t members) {
  PeerMessage message;
  message.sender = InstanceId("i-1");
  message.incarnation = Incarnation(3);
  message.time = {1234567, 8};
  GossipMessage gossip;
  gossip.generation = Generation(5);
  gossip.head_digest = "abc";
  for (std::size_t i = 0; i < members; ++i) {
    MemberRecord record;
    record.id = InstanceId("i-" + std::to_string(i));
    record.incarnation = Incarnation(1);
    record.state = MemberState::kLeaving;
    record.peer_endpoint = {"10.0.0.1", 9000};
    record.caller_endpoint = {"::1", 8000};
    record.failure_domain = FailureDomain("bogota-a");
    gossip.members.push_back(record);
  }
  gossip.usage.push_back({WorkspaceId("w"), 3, 400});
  message.payload = gossip;
  return message;
}

PeerMessage Probe(std::uint64_t sequence) {
  PeerMessage message;
  message.sender = InstanceId("i-1");
  message.payload = ProbeMessage{sequence, InstanceId("i-2")};
  return message;
}

PeerLinkSettings FastSettings(const std::string& secret) {
  PeerLinkSettings settings;
  settings.endpoint = {"127.0.0.1", 0};
  settings.shared_secret = secret;
  settings.heartbeat_interval = milliseconds(10);
  settings.inactivity_timeout = milliseconds(60);
  settings.min_backoff = milliseconds(1);
  settings.max_backoff = milliseconds(5);
  return settings;
}

struct PeerFixture : NetFixture {
  std::unique_ptr<TcpPeerLink> Link(const PeerLinkSettings& settings) {
    auto link = TcpPeerLink::Listen(loop, clock, random, settings);
    REQUIRE(link.has_value());
    return *std::move(link);
  }

  SeededRandom random{kSeed};
};

TEST_CASE("Peer messages survive encoding and decoding [peer]") {
  const auto gossip = DecodePeerFrame(EncodePeerMessage(Gossip(3)));
  REQUIRE(gossip.has_value());
  REQUIRE(gossip->has_value());
  CHECK((*gossip)->sender == InstanceId("i-1"));
  CHECK((*gossip)->time == HybridTime{1234567, 8});
  const auto& content = std::get<GossipMessage>((*gossip)->payload);
  REQUIRE(content.members.size() == 3);
  CHECK(content.members[2].state == MemberState::kLeaving);
  CHECK(content.members[2].caller_endpoint == Endpoint{"::1", 8000});
  CHECK(content.usage.at(0).tokens == 400);

  PeerMessage reply;
  reply.payload = ProbeReplyMessage{9, InstanceId("x"), Incarnation(2)};
  const auto probe_reply = DecodePeerFrame(EncodePeerMessage(reply));
  CHECK(std::get<ProbeReplyMessage>((*probe_reply)->payload).sequence == 9);

  PeerMessage config;
  config.payload = ConfigReplyMessage{{"head"}, {{"base", "text"}}};
  const auto documents = DecodePeerFrame(EncodePeerMessage(config));
  CHECK(std::get<ConfigReplyMessage>((*documents)->payload)
            .documents.at(0)
            .text == "text");

  PeerMessage request;
  request.payload = ConfigRequestMessage{Generation(4)};
  const auto asked = DecodePeerFrame(EncodePeerMessage(request));
  CHECK(std::get<ConfigRequestMessage>((*asked)->payload).generation ==
        Generation(4));
  CHECK(!DecodePeerFrame(EncodeHeartbeat())->has_value());

  PeerMessage notes;
  notes.payload = DispatchNotesMessage{
      {{EngineId("e1"), AttemptId("a1"), TokenCount(70), TokenCount(90), 3}}};
  const auto noted = DecodePeerFrame(EncodePeerMessage(notes));
  const auto& note =
      std::get<DispatchNotesMessage>((*noted)->payload).notes.at(0);
  CHECK(note.engine == EngineId("e1"));
  CHECK(note.memory == TokenCount(90));
  CHECK(note.engine_priority == 3);
}

TEST_CASE("Damaged frames give a message or kProtocol [peer]") {
  const std::string frame = EncodePeerMessage(Gossip(4));
  CHECK(rc::check("any damage ends in a message or kProtocol", [&] {
    std::string damaged =
        frame.substr(0, *rc::gen::inRange<std::size_t>(0, frame.size() + 1));
    const int changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes && !damaged.empty(); ++i) {
      damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] =
          *rc::gen::arbitrary<char>();
    }
    const auto decoded = DecodePeerFrame(damaged);
    RC_ASSERT(decoded.has_value() ||
              decoded.error().code == ErrorCode::kProtocol);
  }));
}

TEST_CASE("Frames with too many members are refused [peer]") {
  CHECK(DecodePeerFrame(EncodePeerMessage(Gossip(kMaxPeerMembers))));
  CHECK(!DecodePeerFrame(EncodePeerMessage(Gossip(kMaxPeerMembers + 1))));
}

TEST_CASE("Peers exchange small and large messages in both directions [peer]") {
  PeerFixture net;
  const auto a = net.Link(FastSettings("secret"));
  const auto b = net.Link(FastSettings("secret"));
  std::size_t members = 0;
  std::uint64_t sequence = 0;
  b->SetReceiver([&](const PeerMessage& message) {
    members = std::get<GossipMessage>(message.payload).members.size();
    b->Send(a->endpoint(), Probe(42));
  });
  a->SetReceiver([&](const PeerMessage& message) {
    sequence = std::get<ProbeMessage>(message.payload).sequence;
  });
  a->Send(b->endpoint(), Gossip(3000));
  net.Await([&] { return sequence == 42; });
  CHECK(members == 3000);
  CHECK(a->counters().bytes_sent > 0);
  CHECK(a->counters().bytes_received > 0);
}

TEST_CASE("Messages of a peer with a different secret are refused [peer]") {
  PeerFixture net;
  const auto a = net.Link(FastSettings("secret"));
  const auto b = net.Link(FastSettings("other"));
  bool is_received = false;
  b->SetReceiver([&](const PeerMessage&) { is_received = true; });
  a->Send(b->endpoint(), Probe(1));
  net.Await([&] { return b->counters().frames_refused > 0; });
  CHECK(!is_received);
  CHECK(b->counters().frames_received == 0);
}

TEST_CASE("Garbage and oversized first frames close the connection [peer]") {
  PeerFixture net;
  const auto link = net.Link(FastSettings("secret"));
  RawConnection large(link->endpoint());
  large.Write(std::string("\xff\xff\xff\x7f", 4) + std::string(100, 'x'));
  RawConnection forged(link->endpoint());
  forged.Write(std::string("\x04\x00\x00\x00", 4) + std::string(36, 'x'));
  net.Await([&] { return large.ReadUntilClosed(); });
  net.Await([&] { return forged.ReadUntilClosed(); });
  CHECK(link->counters().frames_refused == 2);
}

TEST_CASE("Frames recorded on one connection are refused on another [peer]") {
  PeerFixture net;
  PeerLinkSettings settings = FastSettings("secret");
  settings.inactivity_timeout = kTestTimeout;
  const auto target = net.Link(settings);
  const auto sender = net.Link(settings);
  int received_count = 0;
  target->SetReceiver([&](const PeerMessage&) { ++received_count; });
  const SilentListener relay;
  sender->Send(relay.endpoint, Probe(1));
  std::unique_ptr<RawConnection> relayed;
  net.Await([&] { return (relayed = relay.Accept()) != nullptr; });
  // Relays the target's nonce to the sender, and the sender's frames to the
  // target, which accepts them on this connection.
  RawConnection first(target->endpoint());
  net.Await([&] {
    first.ReadUntilClosed();
    return first.received.size() == 32;
  });
  relayed->Write(first.received);
  net.Await([&] {
    relayed->ReadUntilClosed();
    return relayed->received.size() > 100;
  });
  first.Write(relayed->received);
  net.Await([&] { return received_count == 1; });
  RawConnection second(target->endpoint());
  second.Write(relayed->received);
  net.Await([&] { return target->counters().frames_refused == 1; });
  CHECK(received_count == 1);
}

TEST_CASE("An incoming connection that sends no frame is closed [peer]") {
  PeerFixture net;
  const auto link = net.Link(FastSettings("secret"));
  RawConnection idle(link->endpoint());
  net.Await([&] { return idle.ReadUntilClosed(); });
}

TEST_CASE("A connection to a peer that never answers is closed [peer]") {
  PeerFixture net;
  const SilentListener silent;
  const auto link = net.Link(FastSettings("secret"));
  link->Send(silent.endpoint, Probe(1));
  net.Await([&] { return link->counters().failed_connections > 0; });
  CHECK(link->counters().frames_dropped >= 1);
  // The next message opens a new connection, once the backoff has passed.
  net.Await([&] {
    link->Send(silent.endpoint, Probe(2));
    return link->counters().failed_connections > 1;
  });
}

/// Relays bytes between a peer and a target, and can drop those of one
/// direction.
class BlackholeRelay {
 public:
  BlackholeRelay(PeerFixture& net, const Endpoint& target)
      : net_(net), target_(target) {
    Accept();
  }

  Endpoint endpoint() const { return listener_.endpoint; }
  bool passes_to_target = true;
  bool passes_back = true;
  int connections = 0;

 private:
  void Accept() {
    timer_ = net_.clock.RunAfter(milliseconds(1), [this] { Step(); });
  }

  void Step() {
    while (auto accepted = listener_.Accept()) {
      ++connections;
      // Connects each accepted connection to the target.
      pairs_.push_back({std::move(accepted),
                        std::make_unique<RawConnection>(target_), true});
    }
    for (Pair& it : pairs_) {
      it.passes = it.passes && passes_to_target && passes_back;
      Pass(*it.peer, *it.target, it.passes || passes_to_target);
      Pass(*it.target, *it.peer, it.passes || passes_back);
    }
    Accept();
  }

  static void Pass(RawConnection& from, RawConnection& to, bool is_passing) {
    if (from.ReadUntilClosed()) {
      to.Close();
    }
    if (is_passing) {
      to.Write(from.received);
    }
    from.received.clear();
  }

  struct Pair {
    std::unique_ptr<RawConnection> peer;
    std::unique_ptr<RawConnection> target;
    bool passes;
  };

  PeerFixture& net_;
  Endpoint target_;
  SilentListener listener_;
  std::vector<Pair> pairs_;
  std::unique_ptr<Timer> timer_;
};

TEST_CASE("A connection that fails in one direction is replaced [peer]") {
  for (const bool is_forward_cut : {true, false}) {
    CAPTURE(is_forward_cut);
    PeerFixture net;
    const auto a = net.Link(FastSettings("secret"));
    const auto b = net.Link(FastSettings("secret"));
    std::uint64_t last_sequence = 0;
    b->SetReceiver([&](const PeerMessage& message) {
      last_sequence = std::get<ProbeMessage>(message.payload).sequence;
    });
    BlackholeRelay relay(net, b->endpoint());
    a->Send(relay.endpoint(), Probe(1));
    net.Await([&] { return last_sequence == 1; });
    (is_forward_cut ? relay.passes_to_target : relay.passes_back) = false;
    net.Await([&] { return a->counters().failed_connections > 0; });
    relay.passes_to_target = true;
    relay.passes_back = true;
    net.Await([&] {
      a->Send(relay.endpoint(), Probe(2));
      return last_sequence == 2;
    });
    CHECK(relay.connections >= 2);
  }
}

TEST_CASE("Messages reach a peer again once it is back [peer]") {
  PeerFixture net;
  const auto a = net.Link(FastSettings("secret"));
  Endpoint endpoint;
  {
    const SilentListener gone;
    endpoint = gone.endpoint;
  }
  a->Send(endpoint, Probe(1));
  net.Await([&] { return a->counters().failed_connections > 0; });
  PeerLinkSettings settings = FastSettings("secret");
  settings.endpoint = endpoint;
  const auto b = net.Link(settings);
  bool is_received = false;
  b->SetReceiver([&](const PeerMessage&) { is_received = true; });
  net.Await([&] {
    a->Send(endpoint, Probe(2));
    return is_received;
  });
}

TEST_CASE("The queue of frames to a slow peer is bounded [peer]") {
  PeerFixture net;
  const SilentListener silent;
  PeerLinkSettings settings = FastSettings("secret");
  settings.max_queued_bytes = ByteCount(10'000);
  const auto link = net.Link(settings);
  for (int i = 0; i < 100; ++i) {
    link->Send(silent.endpoint, Gossip(50));
  }
  CHECK(link->counters().frames_dropped > 90);
}

// Guards against a peer that is taken for silent, since this process did not
// run and sent it no heartbeats.
TEST_CASE("A peer is not given up after a stop of the process [peer]") {
  PausedLoop paused;
  SeededRandom random{kSeed};
  PeerLinkSettings settings = FastSettings("secret");
  settings.heartbeat_interval = std::chrono::seconds(1);
  settings.inactivity_timeout = std::chrono::seconds(3);
  settings.max_idle_time = std::chrono::hours(1);
  auto a = TcpPeerLink::Listen(paused.loop, paused.clock, random, settings);
  auto b = TcpPeerLink::Listen(paused.loop, paused.clock, random, settings);
  REQUIRE(a.has_value());
  REQUIRE(b.has_value());
  int received = 0;
  (*b)->SetReceiver([&](const PeerMessage&) { ++received; });
  (*a)->Send((*b)->endpoint(), Probe(1));
  // The answer to the first heartbeat; no other one is under way.
  paused.Await(
      [&] { return received == 1 && (*a)->counters().frames_received == 1; });
  paused.Resume(std::chrono::seconds(4));
  (*a)->Send((*b)->endpoint(), Probe(2));
  paused.Await([&] { return received == 2; });
  CHECK((*a)->counters().failed_connections == 0);
}

// The other side of the case above: silence while this process runs.
TEST_CASE("A peer that answers no heartbeats is given up [peer]") {
  PausedLoop paused;
  SeededRandom random{kSeed};
  SilentListener silent;
  PeerLinkSettings settings = FastSettings("secret");
  settings.heartbeat_interval = std::chrono::seconds(1);
  settings.inactivity_timeout = std::chrono::seconds(3);
  settings.max_idle_time = std::chrono::hours(1);
  auto link = TcpPeerLink::Listen(paused.loop, paused.clock, random, settings);
  REQUIRE(link.has_value());
  (*link)->Send(silent.endpoint, Probe(1));
  for (int i = 0; i < 3; ++i) {
    CHECK((*link)->counters().failed_connections == 0);
    paused.loop.Post([] {});
    paused.Resume(std::chrono::seconds(1));
  }
  CHECK((*link)->counters().failed_connections == 1);
}

}  // namespace
}  // namespace kingcupdrift
