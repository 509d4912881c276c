#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/config/config.h"
#include "tests/config/config_harness.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest time from an approval until all followers apply it.
constexpr Duration kMaxPropagationTime = seconds(7);

/// The follower of one entry. Its requests to peers are collected and answered
/// by Fleet::Exchange.
struct FollowerNode {
  FollowerNode(const SiteId& site, ConfigHarness& harness)
      : client(harness.NewClient()),
        follower(site,
                 harness.clock,
                 harness.random,
                 *client,
                 [this](const Endpoint& peer, const ConfigRequestMessage& it) {
                   requests.emplace_back(peer, it);
                 }) {
    follower.signal_applied().connect([this](const SiteConfig& config) {
      applied.push_back(config.generation);
    });
  }

  std::vector<std::pair<Endpoint, ConfigRequestMessage>> requests;
  std::vector<Generation> applied;
  std::unique_ptr<fakes::FakeStore> client;
  ConfigFollower follower;
};

/// Followers of one store that report their heads to each other and answer each
/// other's requests.
struct Fleet {
  void Add(const SiteId& site) {
    const Endpoint peer{"10.0.0.1",
                        static_cast<std::uint16_t>(nodes.size() + 1)};
    nodes[peer] = std::make_unique<FollowerNode>(site, harness);
  }
  FollowerNode& At(std::uint16_t port) { return *nodes.at({"10.0.0.1", port}); }

  /// Reports each head to all followers once and answers all pending requests.
  void Exchange() {
    for (auto& [peer, node] : nodes) {
      for (auto& [other, receiver] : nodes) {
        receiver->follower.OnPeerHead(node->follower.generation(),
                                      node->follower.digest(), peer);
      }
    }
    for (auto& [peer, node] : nodes) {
      for (const auto& [asked, request] : std::exchange(node->requests, {})) {
        node->follower.OnConfigReply(
            nodes.at(asked)->follower.BuildConfigReply(request));
      }
    }
  }

  void Run(Duration time) {
    for (Duration it{0}; it < time; it += milliseconds(100)) {
      harness.clock.Advance(milliseconds(100));
      Exchange();
    }
  }

  ConfigHarness harness;
  std::map<Endpoint, std::unique_ptr<FollowerNode>> nodes;
};

TEST_CASE("Followers of each site apply an approved configuration [config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  fleet.Add(kGreatLakes);
  fleet.At(1).follower.Start();
  fleet.At(2).follower.Start();
  fleet.Run(seconds(1));
  CHECK(fleet.At(1).follower.current() == nullptr);
  const StoredHead head = fleet.harness.Publish(SmallDocuments(3));
  fleet.Run(kMaxPropagationTime);
  const SiteConfig* andina = fleet.At(1).follower.current();
  REQUIRE(andina != nullptr);
  CHECK(andina->digest == head.digest);
  CHECK(andina->generation == Generation(1));
  CHECK(andina->services.at(ServiceId("chat")).max_queued == 10);
  CHECK(
      fleet.At(2).follower.current()->services.at(ServiceId("chat")).priority ==
      3);
  CHECK(fleet.At(1).requests.empty());
}

TEST_CASE("Periodic reads find a change that the watch missed [config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  fleet.harness.Publish(SmallDocuments(0));
  fleet.At(1).follower.Start();
  fleet.Run(seconds(1));
  fleet.At(1).client->SetDropReplies(true);
  fleet.harness.Publish(SmallDocuments(1));
  fleet.At(1).client->SetDropReplies(false);
  fleet.harness.clock.Advance(kMaxPropagationTime);
  CHECK(fleet.At(1).follower.generation() == Generation(2));
}

TEST_CASE("The last configuration stays in force during an outage [config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  fleet.harness.Publish(SmallDocuments(0));
  fleet.At(1).follower.Start();
  fleet.Run(seconds(1));
  const std::uint64_t reads = fleet.harness.model.counters().reads;
  fleet.harness.model.SetFault({.is_down = true});
  fleet.Run(std::chrono::minutes(10));
  CHECK(fleet.At(1).follower.generation() == Generation(1));
  CHECK(fleet.At(1).follower.counts().store_faults < 300);
  fleet.harness.model.SetFault({});
  fleet.harness.Publish(SmallDocuments(1));
  fleet.Run(kMaxPropagationTime);
  CHECK(fleet.At(1).follower.generation() == Generation(2));
  CHECK(fleet.harness.model.counters().reads - reads < 30);
}

TEST_CASE(
    "Followers get a configuration from peers while the store is down "
    "[config]") {
  Fleet fleet;
  for (int i = 0; i < 4; ++i) {
    fleet.Add(i % 2 == 0 ? kAndina : kGreatLakes);
  }
  fleet.harness.Publish(SmallDocuments(0));
  for (std::uint16_t i = 1; i <= 3; ++i) {
    fleet.At(i).follower.Start();
  }
  fleet.Run(seconds(1));
  // Entries 2 and 3 lose their connection to the store; entry 4 starts while
  // the store is down.
  fleet.At(2).client->SetDropRequests(true);
  fleet.At(2).client->SetDropReplies(true);
  fleet.At(3).client->SetDropRequests(true);
  fleet.At(3).client->SetDropReplies(true);
  ConfigDocuments changed = SmallDocuments(1);
  changed.overlays[kGreatLakes] = "[services.chat]\nmax_queued = 77\n";
  fleet.harness.Publish(changed);
  fleet.Run(milliseconds(200));
  fleet.harness.model.SetFault({.is_down = true});
  fleet.At(4).follower.Start();
  fleet.Run(kMaxPropagationTime);
  for (std::uint16_t i = 1; i <= 4; ++i) {
    CAPTURE(i);
    CHECK(fleet.At(i).follower.generation() == Generation(2));
  }
  const SiteConfig* lakes = fleet.At(4).follower.current();
  REQUIRE(lakes != nullptr);
  CHECK(lakes->services.at(ServiceId("chat")).max_queued == 77);
}

TEST_CASE("A follower that missed many changes catches up [config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  fleet.Add(kAndina);
  fleet.harness.Publish(SmallDocuments(0));
  fleet.At(1).follower.Start();
  fleet.Run(seconds(1));
  fleet.harness.model.SetFault({.is_down = true});
  fleet.Run(seconds(1));
  fleet.harness.model.SetFault({});
  fleet.At(1).client->SetDropRequests(true);
  fleet.At(1).client->SetDropReplies(true);
  for (int i = 1; i <= 300; ++i) {
    fleet.harness.Publish(SmallDocuments(i % 100));
  }
  SUBCASE("it fetches the records from the store one by one") {
    fleet.At(1).client->SetDropRequests(false);
    fleet.At(1).client->SetDropReplies(false);
    fleet.harness.clock.Advance(seconds(20));
    CHECK(fleet.At(1).follower.generation() == Generation(301));
  }
  SUBCASE("a peer that dropped the older records cannot help") {
    fleet.At(2).follower.Start();
    fleet.Run(seconds(20));
    CHECK(fleet.At(2).follower.generation() == Generation(301));
    CHECK(fleet.At(1).follower.generation() == Generation(1));
    // It keeps sending requests at a growing interval, and the peer's replies
    // carry no documents that it could not use.
    CHECK(fleet.At(1).follower.counts().peer_requests > 0);
    CHECK(fleet.At(1).follower.counts().peer_requests < 10);
    const ConfigReplyMessage reply =
        fleet.At(2).follower.BuildConfigReply({Generation(1)});
    CHECK(reply.head_records.empty());
    CHECK(reply.documents.empty());
  }
}

TEST_CASE(
    "A reply holds only documents that changed since the peer's head "
    "[config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  fleet.harness.Publish(SmallDocuments(0));
  ConfigDocuments changed = SmallDocuments(0);
  changed.overlays[kGreatLakes] = "[services.chat]\nmax_queued = 77\n";
  fleet.At(1).follower.Start();
  fleet.Run(seconds(1));
  fleet.harness.Publish(changed);
  fleet.Run(seconds(1));
  const ConfigFollower& follower = fleet.At(1).follower;
  const ConfigReplyMessage update = follower.BuildConfigReply({Generation(1)});
  CHECK(update.head_records.size() == 1);
  REQUIRE(update.documents.size() == 1);
  CHECK(update.documents[0].name == "great-lakes");
  CHECK(follower.BuildConfigReply({Generation(0)}).documents.size() == 3);
  CHECK(follower.BuildConfigReply({Generation(2)}).head_records.empty());
}

TEST_CASE("A peer's other digest at the same generation is rejected [config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  fleet.harness.Publish(SmallDocuments(0));
  fleet.At(1).follower.Start();
  fleet.Run(seconds(1));
  ConfigFollower& follower = fleet.At(1).follower;
  follower.OnPeerHead(Generation(1), std::string(64, 'a'), {"10.0.0.9", 1});
  CHECK(follower.counts().rejected_chains == 1);
  CHECK(follower.generation() == Generation(1));
}

/// A peer's reply with all of `records` and `documents`.
ConfigReplyMessage ReplyOf(const std::vector<ConfigHead>& records,
                           const ConfigDocuments& documents) {
  ConfigReplyMessage reply;
  for (const ConfigHead& it : records) {
    reply.head_records.push_back(Serialize(it));
  }
  reply.documents.push_back({"base", documents.base});
  for (const auto& [site, text] : documents.overlays) {
    reply.documents.push_back({site.value(), text});
  }
  return reply;
}

TEST_CASE("Stale and forged replies of peers are not applied [config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  fleet.harness.Publish(SmallDocuments(0));
  const StoredHead head = fleet.harness.Publish(SmallDocuments(1));
  fleet.At(1).follower.Start();
  fleet.Run(seconds(1));
  ConfigFollower& follower = fleet.At(1).follower;
  REQUIRE(follower.generation() == Generation(2));

  ConfigHead next;
  next.generation = Generation(3);
  next.documents = DigestDocuments(SmallDocuments(2));
  next.approver = "mallory";
  next.previous = head.digest;
  ConfigReplyMessage reply = ReplyOf({next}, SmallDocuments(2));
  SUBCASE("a record of the generation in force") {
    reply = ReplyOf({head.head}, SmallDocuments(1));
  }
  SUBCASE("a record whose previous digest is wrong") {
    next.previous = std::string(64, 'a');
    reply = ReplyOf({next}, SmallDocuments(2));
  }
  SUBCASE("a record that skips a generation") {
    next.generation = Generation(4);
    reply = ReplyOf({next}, SmallDocuments(2));
  }
  SUBCASE("a reply without records") {
    reply.head_records.clear();
  }
  SUBCASE("a malformed record") {
    reply.head_records = {"{}"};
  }
  SUBCASE("more records than the limit") {
    reply.head_records.resize(1000, reply.head_records.front());
  }
  SUBCASE("documents that do not match their digests") {
    reply = ReplyOf({next}, SmallDocuments(9));
  }
  follower.OnConfigReply(reply);
  fleet.Run(seconds(10));
  CHECK(follower.generation() == Generation(2));
  CHECK(follower.digest() == head.digest);
}

TEST_CASE(
    "A follower keeps its generation when the store's head goes back "
    "[config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  fleet.harness.Publish(SmallDocuments(0));
  const auto old = fleet.harness.model.Get(kConfigHeadKey);
  fleet.harness.Publish(SmallDocuments(1));
  fleet.At(1).follower.Start();
  fleet.Run(seconds(1));
  const auto now = fleet.harness.model.Get(kConfigHeadKey);
  REQUIRE(fleet.harness.model.CompareAndSwap(kConfigHeadKey, now->version,
                                             old->value, LeaseId(0)));
  fleet.Run(seconds(20));
  CHECK(fleet.At(1).follower.generation() == Generation(2));
  CHECK(fleet.At(1).follower.counts().rejected_chains > 0);
}

TEST_CASE("Invalid documents leave the last configuration in force [config]") {
  Fleet fleet;
  fleet.Add(kAndina);
  const StoredHead head = fleet.harness.Publish(SmallDocuments(0));
  fleet.At(1).follower.Start();
  fleet.Run(seconds(1));
  // A newer program can approve an option that this one does not define.
  ConfigDocuments newer = SmallDocuments(1);
  newer.base += "option_of_the_future = true\n";
  ConfigHead next;
  next.generation = Generation(2);
  next.documents = DigestDocuments(newer);
  next.approver = "ana";
  next.previous = head.digest;
  REQUIRE(fleet.harness.model.CompareAndSwap(
      kConfigBlobPrefix + next.documents.base, StoreVersion(0), newer.base,
      LeaseId(0)));
  REQUIRE(fleet.harness.model.CompareAndSwap(kConfigHeadKey, head.version,
                                             Serialize(next), LeaseId(0)));
  fleet.Run(seconds(10));
  CHECK(fleet.At(1).follower.generation() == Generation(1));
  CHECK(fleet.At(1).follower.counts().invalid_documents == 1);
  fleet.harness.Publish(SmallDocuments(5));
  fleet.Run(kMaxPropagationTime);
  CHECK(fleet.At(1).follower.generation() == Generation(3));
}

TEST_CASE("The generation only rises under random store faults [config]") {
  const bool holds = rc::check([] {
    Fleet fleet;
    for (int i = 0; i < 3; ++i) {
      fleet.Add(i % 2 == 0 ? kAndina : kGreatLakes);
    }
    for (auto& [peer, node] : fleet.nodes) {
      node->follower.Start();
    }
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
    int published = 0;
    for (const int step : steps) {
      switch (step) {
        case 0:
        case 1:
          if (!fleet.harness.model.fault().is_down) {
            fleet.harness.Publish(SmallDocuments(++published % 100));
          }
          break;
        case 2:
          fleet.harness.model.SetFault({.is_down = true});
          break;
        case 3:
          fleet.harness.model.SetFault({});
          break;
        case 4:
          fleet.harness.model.SetFault({.delay = milliseconds(500)});
          break;
        default:
          fleet.Run(milliseconds(100 * (step - 4)));
      }
    }
    fleet.harness.model.SetFault({});
    fleet.Run(kMaxPropagationTime);
    for (auto& [peer, node] : fleet.nodes) {
      RC_ASSERT(std::is_sorted(node->applied.begin(), node->applied.end()));
      RC_ASSERT(node->follower.generation() == Generation(published));
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace kingcupdrift
