#include "kingcupdrift/membership/membership.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "tests/fakes/fake_instance_list.h"
#include "tests/fakes/fake_peer_network.h"
#include "tests/fakes/freezable_clock.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261203;

/// One instance's membership with a fake clock, peer link and instance list.
struct Node {
  Node(int index,
       fakes::ManualClock& base,
       fakes::FakePeerNetwork& network,
       fakes::InstanceListModel& list_model)
      : clock(base),
        random(kSeed + static_cast<std::uint64_t>(index)),
        hybrid_clock(clock),
        list(list_model, clock) {
    record.id = InstanceId(fmt::format("i{:03}", index));
    record.incarnation = Incarnation(1);
    record.peer_endpoint = Endpoint{"10.0.0.1", PortOf(index)};
    record.caller_endpoint = Endpoint{"10.0.1.1", PortOf(index)};
    record.failure_domain = FailureDomain(fmt::format("d{}", index % 3));
    link = std::make_unique<fakes::FakePeerLink>(record.peer_endpoint, network,
                                                 clock);
    membership = std::make_unique<Membership>(
        record, MembershipOptions(), clock, random, hybrid_clock, *link, list);
    link->SetReceiver(
        [this](const PeerMessage& message) { membership->OnMessage(message); });
  }

  static std::uint16_t PortOf(int index) {
    return static_cast<std::uint16_t>(7000 + index);
  }

  MemberState StateOf(const Node& other) const {
    const MemberRecord* it = membership->table().Find(other.record.id);
    return it == nullptr ? MemberState::kDead : it->state;
  }

  fakes::FreezableClock clock;
  SeededRandom random;
  HybridClock hybrid_clock;
  fakes::FakeInstanceList list;
  MemberRecord record;
  std::unique_ptr<fakes::FakePeerLink> link;
  std::unique_ptr<Membership> membership;
};

/// Instances that know only the first one of them at the start.
class Fleet {
 public:
  explicit Fleet(int count, Duration latency = milliseconds(1))
      : network(latency, clock), list(seconds(5), clock) {
    for (int i = 0; i < count; ++i) {
      nodes.push_back(std::make_unique<Node>(i, clock, network, list));
    }
    for (const auto& it : nodes) {
      it->membership->Start({nodes.front()->record.peer_endpoint});
    }
  }

  bool AllSee(const Node& subject, MemberState state) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
      return it == nullptr || it.get() == &subject ||
             it->StateOf(subject) == state;
    });
  }

  bool IsComplete() const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
      return it->membership->ListServingMembers().size() == nodes.size();
    });
  }

  void WaitUntilComplete() {
    REQUIRE(clock.AdvanceUntil([this] { return IsComplete(); }, minutes(1)));
  }

  fakes::ManualClock clock;
  fakes::FakePeerNetwork network;
  fakes::InstanceListModel list;
  std::vector<std::unique_ptr<Node>> nodes;
};

TEST_CASE("Instances that know one seed find all others [membership]") {
  Fleet fleet(8);
  fleet.WaitUntilComplete();
}

TEST_CASE(
    "No instance lists a draining one as serving after 3 s [membership]") {
  Fleet fleet(8);
  fleet.WaitUntilComplete();
  Node& leaver = *fleet.nodes[3];
  leaver.membership->StartLeaving();
  CHECK(fleet.clock.AdvanceUntil(
      [&] { return fleet.AllSee(leaver, MemberState::kLeaving); }, seconds(3)));
  for (const auto& it : fleet.nodes) {
    const auto serving = it->membership->ListServingMembers();
    CHECK(std::none_of(serving.begin(), serving.end(), [&](const auto& entry) {
      return entry.id == leaver.record.id;
    }));
  }
}

TEST_CASE("A silent instance becomes suspect, then dead [membership]") {
  Fleet fleet(6);
  fleet.WaitUntilComplete();
  Node& victim = *fleet.nodes[2];
  victim.clock.Freeze();
  CHECK(fleet.clock.AdvanceUntil(
      [&] { return fleet.nodes[0]->StateOf(victim) == MemberState::kSuspect; },
      seconds(10)));
  CHECK(fleet.clock.AdvanceUntil(
      [&] { return fleet.AllSee(victim, MemberState::kDead); }, seconds(20)));
}

TEST_CASE("A frozen instance refutes its death after it thaws [membership]") {
  Fleet fleet(6);
  fleet.WaitUntilComplete();
  Node& victim = *fleet.nodes[2];
  fleet.list.Set({victim.record.id, victim.record.peer_endpoint,
                  victim.record.failure_domain, false});
  victim.clock.Freeze();
  REQUIRE(fleet.clock.AdvanceUntil(
      [&] { return fleet.AllSee(victim, MemberState::kDead); }, seconds(30)));
  victim.clock.Thaw();
  CHECK(fleet.clock.AdvanceUntil(
      [&] { return fleet.AllSee(victim, MemberState::kAlive); }, seconds(30)));
  CHECK(fleet.clock.AdvanceUntil([&] { return fleet.IsComplete(); },
                                 seconds(30)));
}

TEST_CASE(
    "No instance is marked dead when answers exceed the probe timeout "
    "[membership]") {
  Fleet fleet(6, milliseconds(2000));
  fleet.WaitUntilComplete();
  std::set<InstanceId> dead;
  for (const auto& it : fleet.nodes) {
    it->membership->signal_member_changed().connect(
        [&dead](const MemberRecord& record) {
          if (record.state == MemberState::kDead) {
            dead.insert(record.id);
          }
        });
  }
  fleet.clock.Advance(minutes(1));
  CHECK(dead.empty());
}

TEST_CASE(
    "A paused observer marks no instance dead when it resumes "
    "[membership]") {
  Fleet fleet(6);
  fleet.WaitUntilComplete();
  Node& observer = *fleet.nodes[1];
  bool has_marked_dead = false;
  observer.membership->signal_member_changed().connect(
      [&](const MemberRecord& it) {
        has_marked_dead = has_marked_dead || it.state == MemberState::kDead;
      });
  for (int i = 0; i < 10; ++i) {
    observer.clock.Freeze();
    fleet.clock.Advance(seconds(2));
    observer.clock.Thaw();
    fleet.clock.Advance(milliseconds(700));
  }
  fleet.clock.Advance(seconds(10));
  CHECK_FALSE(has_marked_dead);
  for (const auto& it : fleet.nodes) {
    CHECK((it.get() == &observer ||
           it->StateOf(observer) == MemberState::kAlive));
  }
}

TEST_CASE(
    "A one-way cut to one observer makes no instance mark the victim dead "
    "[membership]") {
  Fleet fleet(6);
  fleet.WaitUntilComplete();
  Node& observer = *fleet.nodes[1];
  Node& victim = *fleet.nodes[4];
  std::set<InstanceId> marked_dead_by;
  for (const auto& it : fleet.nodes) {
    it->membership->signal_member_changed().connect(
        [&marked_dead_by, &it, &victim](const MemberRecord& record) {
          if (record.id == victim.record.id &&
              record.state == MemberState::kDead) {
            marked_dead_by.insert(it->record.id);
          }
        });
  }
  fleet.network.CutOneWay(victim.record.peer_endpoint,
                          observer.record.peer_endpoint);
  fleet.clock.Advance(minutes(2));
  // The others relay probes, so even the observer sees the victim as alive.
  CHECK(marked_dead_by.empty());
  CHECK(observer.StateOf(victim) == MemberState::kAlive);
}

TEST_CASE("Two halves find each other again after a partition [membership]") {
  Fleet fleet(6);
  fleet.WaitUntilComplete();
  for (const auto& it : fleet.nodes) {
    fleet.list.Set({it->record.id, it->record.peer_endpoint,
                    it->record.failure_domain, false});
  }
  for (int a = 0; a < 3; ++a) {
    for (int b = 3; b < 6; ++b) {
      fleet.network.Cut(fleet.nodes[a]->record.peer_endpoint,
                        fleet.nodes[b]->record.peer_endpoint);
    }
  }
  REQUIRE(fleet.clock.AdvanceUntil(
      [&] {
        return fleet.nodes[0]->membership->ListServingMembers().size() == 3;
      },
      seconds(60)));
  fleet.network.HealAll();
  CHECK(fleet.clock.AdvanceUntil([&] { return fleet.IsComplete(); },
                                 seconds(30)));
}

TEST_CASE(
    "A listing as leaving alone marks an instance as leaving [membership]") {
  Fleet fleet(4);
  fleet.WaitUntilComplete();
  Node& leaver = *fleet.nodes[2];
  ListedInstance row{leaver.record.id, leaver.record.peer_endpoint,
                     leaver.record.failure_domain, false};
  fleet.list.Set(row);
  fleet.clock.Advance(seconds(20));
  bool was_asked = false;
  leaver.membership->signal_asked_to_leave().connect(
      [&was_asked] { was_asked = true; });
  row.is_leaving = true;
  fleet.list.Set(row);
  CHECK(fleet.clock.AdvanceUntil(
      [&] { return fleet.AllSee(leaver, MemberState::kLeaving) && was_asked; },
      seconds(10)));
}

TEST_CASE(
    "A stale listing as leaving does not stop a restarted instance "
    "[membership]") {
  Fleet fleet(4);
  Node& restarted = *fleet.nodes[2];
  fleet.list.Set({restarted.record.id, restarted.record.peer_endpoint,
                  restarted.record.failure_domain, true});
  fleet.WaitUntilComplete();
  bool was_asked = false;
  restarted.membership->signal_asked_to_leave().connect(
      [&was_asked] { was_asked = true; });
  fleet.clock.Advance(seconds(20));
  CHECK_FALSE(was_asked);
  CHECK(fleet.AllSee(restarted, MemberState::kAlive));
}

TEST_CASE(
    "A restarted instance with a new incarnation replaces its dead record "
    "[membership]") {
  const fakes::ManualClock clock;
  MemberTable table(clock);
  MemberRecord record;
  record.id = InstanceId("i");
  record.incarnation = Incarnation(1);
  table.Merge(record);
  table.SetState(record.id, MemberState::kDead);
  CHECK_FALSE(table.Merge(record));
  record.incarnation = Incarnation(2);
  CHECK(table.Merge(record));
  CHECK(table.Find(record.id)->state == MemberState::kAlive);
}

TEST_CASE(
    "Gossip about 330 instances stays within the record limit "
    "[membership]") {
  Fleet fleet(1);
  Node& node = *fleet.nodes[0];
  GossipMessage gossip;
  for (int i = 1; i < 330; ++i) {
    MemberRecord record;
    record.id = InstanceId(fmt::format("x{:03}", i));
    record.incarnation = Incarnation(1);
    record.peer_endpoint = Endpoint{"10.0.0.2", Node::PortOf(i)};
    gossip.members.push_back(record);
  }
  node.membership->OnMessage(
      {InstanceId("x001"), Incarnation(1), HybridTime(), gossip});
  CHECK(node.membership->table().size() == 329);
  std::size_t largest = 0;
  fakes::FakePeerLink peer(Endpoint{"10.0.0.2", Node::PortOf(1)}, fleet.network,
                           fleet.clock);
  peer.SetReceiver([&](const PeerMessage& message) {
    if (const auto* it = std::get_if<GossipMessage>(&message.payload)) {
      largest = std::max(largest, it->members.size());
    }
  });
  node.membership->GossipNow(400);
  fleet.clock.Advance(seconds(1));
  CHECK(largest > 0);
  CHECK(largest <= MembershipOptions().max_gossip_records + 2);
}

}  // namespace
}  // namespace kingcupdrift
