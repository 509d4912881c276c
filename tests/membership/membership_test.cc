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

/// One instance's membership over the fakes.
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

/// A number of instances that know only the first one at start.
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

TEST_CASE("A leaving instance is out of every answer within 3 s [membership]") {
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

TEST_CASE("A silent instance is suspected, then dead [membership]") {
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

TEST_CASE("A frozen instance refutes after it thaws [membership]") {
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

TEST_CASE("Answers slower than the probe's limit evict nobody [membership]") {
  Fleet fleet(6, milliseconds(2000));
  fleet.WaitUntilComplete();
  std::set<InstanceId> evicted;
  for (const auto& it : fleet.nodes) {
    it->membership->signal_member_changed().connect(
        [&evicted](const MemberRecord& record) {
          if (record.state == MemberState::kDead) {
            evicted.insert(record.id);
          }
        });
  }
  fleet.clock.Advance(minutes(1));
  CHECK(evicted.empty());
}

TEST_CASE("A paused observer evicts nobody when it resumes [membership]") {
  Fleet fleet(6);
  fleet.WaitUntilComplete();
  Node& observer = *fleet.nodes[1];
  bool has_accused = false;
  observer.membership->signal_member_changed().connect(
      [&](const MemberRecord& it) {
        has_accused = has_accused || it.state == MemberState::kDead;
      });
  for (int i = 0; i < 10; ++i) {
    observer.clock.Freeze();
    fleet.clock.Advance(seconds(2));
    observer.clock.Thaw();
    fleet.clock.Advance(milliseconds(700));
  }
  fleet.clock.Advance(seconds(10));
  CHECK_FALSE(has_accused);
  for (const auto& it : fleet.nodes) {
    CHECK((it.get() == &observer ||
           it->StateOf(observer) == MemberState::kAlive));
  }
}

TEST_CASE(
    "An observer with a one-way cut evicts nobody else's view "
    "[membership]") {
  Fleet fleet(6);
  fleet.WaitUntilComplete();
  Node& observer = *fleet.nodes[1];
  Node& victim = *fleet.nodes[4];
  std::set<InstanceId> evicted_by;
  for (const auto& it : fleet.nodes) {
    it->membership->signal_member_changed().connect(
        [&evicted_by, &it, &victim](const MemberRecord& record) {
          if (record.id == victim.record.id &&
              record.state == MemberState::kDead) {
            evicted_by.insert(it->record.id);
          }
        });
  }
  fleet.network.CutOneWay(victim.record.peer_endpoint,
                          observer.record.peer_endpoint);
  fleet.clock.Advance(minutes(2));
  // The others relay probes, so that even the observer keeps the victim.
  CHECK(evicted_by.empty());
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

TEST_CASE("The platform's list alone can take an instance out [membership]") {
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
    "A restart under a new incarnation replaces the dead one "
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

TEST_CASE("Gossip about 330 instances stays within its records [membership]") {
  Fleet fleet(1);
  Node& node = *fleet.nodes[0];
  GossipMessage news;
  for (int i = 1; i < 330; ++i) {
    MemberRecord record;
    record.id = InstanceId(fmt::format("x{:03}", i));
    record.incarnation = Incarnation(1);
    record.peer_endpoint = Endpoint{"10.0.0.2", Node::PortOf(i)};
    news.members.push_back(record);
  }
  node.membership->OnMessage(
      {InstanceId("x001"), Incarnation(1), HybridTime(), news});
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
