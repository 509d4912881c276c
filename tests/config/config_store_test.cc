#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupdrift/config/config.h"
#include "tests/config/config_harness.h"

namespace kingcupdrift {
namespace {

std::vector<ConfigHead> History(ConfigBench& bench, std::size_t limit = 100) {
  return bench
      .Await<std::vector<ConfigHead>>(
          [&](auto callback) { bench.store.History(limit, callback); })
      .value();
}

TEST_CASE("Submitted documents take effect only when approved [config]") {
  ConfigBench bench;
  const ConfigDocuments documents = SmallDocuments(1);
  const auto proposal = bench.Submit(documents, std::nullopt);
  REQUIRE(proposal);
  CHECK(!bench.Head().value().has_value());
  const auto approval = bench.Approve(*proposal);
  REQUIRE(approval);
  CHECK(!approval->was_already_approved);
  const StoredHead head = bench.Head().value().value();
  CHECK(head.digest == approval->head.digest);
  CHECK(head.head.generation == Generation(1));
  CHECK(head.head.approver == "ana");
  const auto loaded = bench.Await<ConfigDocuments>([&](auto callback) {
    bench.store.LoadDocuments(head.head.documents, callback);
  });
  CHECK(loaded.value() == documents);
}

TEST_CASE("The history is a chain that verifies [config]") {
  ConfigBench bench;
  for (int i = 0; i < 5; ++i) {
    bench.Publish(SmallDocuments(i));
  }
  std::vector<ConfigHead> records = History(bench);
  REQUIRE(records.size() == 5);
  CHECK(VerifyHeadChain(records).has_value());
  CHECK(History(bench, 2).size() == 2);

  std::vector<ConfigHead> altered = records;
  altered[2].approver = "mallory";
  CHECK(!VerifyHeadChain(altered).has_value());
  std::vector<ConfigHead> shortened = records;
  shortened.erase(shortened.begin() + 2);
  CHECK(!VerifyHeadChain(shortened).has_value());
  records[0].previous = std::string(64, 'a');
  CHECK(!VerifyHeadChain(records).has_value());
}

TEST_CASE("Approving again, by anyone, changes nothing [config]") {
  ConfigBench bench;
  const auto proposal = bench.Submit(SmallDocuments(1), std::nullopt).value();
  const auto first = bench.Approve(proposal).value();
  const auto again = bench.Approve(proposal, "carla").value();
  CHECK(again.was_already_approved);
  CHECK(again.head.digest == first.head.digest);
  bench.Publish(SmallDocuments(2));
  const auto late = bench.Approve(proposal).value();
  CHECK(late.was_already_approved);
  CHECK(late.head.head.generation == Generation(1));
  CHECK(bench.Head().value()->head.generation == Generation(2));
}

TEST_CASE("Of two operators at once one wins and none loses work [config]") {
  ConfigBench bench;
  const StoredHead base = bench.Publish(SmallDocuments(0));
  const auto a = bench.Submit(SmallDocuments(1), base).value();
  const auto b = bench.Submit(SmallDocuments(2), base).value();
  const auto other = bench.NewClient();
  ConfigStore rival(*other, bench.clock, bench.random,
                    std::chrono::seconds(10));
  std::optional<Result<Approval>> second;
  rival.Approve(b, "carla", [&](const Result<Approval>& it) { second = it; });
  const auto first = bench.Approve(a);
  bench.clock.AdvanceUntil([&] { return second.has_value(); },
                           std::chrono::minutes(1));
  REQUIRE(second);
  CHECK(first.has_value() != second->has_value());
  const Error& lost = first ? second->error() : first.error();
  CHECK(lost.code == ErrorCode::kConflict);
  CHECK(bench.Head().value()->head.generation == Generation(2));
  for (const std::string& digest : {a, b}) {
    const auto kept = bench.Await<ConfigProposal>(
        [&](auto callback) { bench.store.LoadProposal(digest, callback); });
    CHECK(kept.has_value());
  }
}

TEST_CASE("An overlay written against an old base is refused [config]") {
  ConfigBench bench;
  const StoredHead head = bench.Publish(SmallDocuments(0));
  ConfigDocuments overlay_change = SmallDocuments(0);
  overlay_change.overlays[kAndina] = "[services.chat]\nmax_queued = 20\n";
  const auto proposal = bench.Submit(overlay_change, head).value();
  bench.Publish(SmallDocuments(1));
  const auto approval = bench.Approve(proposal);
  REQUIRE(!approval);
  CHECK(approval.error().code == ErrorCode::kConflict);
  // Put on top of the new head it passes, and the base's change stays.
  overlay_change.base = SmallDocuments(1).base;
  const StoredHead rebased = bench.Publish(overlay_change);
  CHECK(rebased.head.generation == Generation(3));
}

TEST_CASE("A lost reply to the approving write is resolved [config]") {
  ConfigBench bench;
  const StoredHead base = bench.Publish(SmallDocuments(0));
  const auto proposal = bench.Submit(SmallDocuments(1), base).value();
  // The first write keeps the old head's record, the second moves the head.
  SUBCASE("of the record in the history") {
    bench.model.LoseReplies(1);
  }
  SUBCASE("of both") {
    bench.model.LoseReplies(2);
  }
  const auto approval = bench.Approve(proposal);
  REQUIRE(approval);
  CHECK(!approval->was_already_approved);
  CHECK(bench.Head().value()->digest == approval->head.digest);
  CHECK(VerifyHeadChain(History(bench)).has_value());
}

TEST_CASE("A write that arrives late cannot undo a later approval [config]") {
  ConfigBench bench;
  const StoredHead base = bench.Publish(SmallDocuments(0));
  const auto a = bench.Submit(SmallDocuments(1), base).value();
  const auto b = bench.Submit(SmallDocuments(2), base).value();
  bench.model.DelayWrites(2, std::chrono::seconds(8));
  const auto first = bench.Approve(a);
  const auto second = bench.Approve(b, "carla");
  bench.clock.Advance(std::chrono::minutes(1));
  const StoredHead head = bench.Head().value().value();
  CHECK(head.head.generation == Generation(2));
  CHECK(first.has_value() != second.has_value());
  CHECK(head.head.proposal == (first ? a : b));
}

TEST_CASE("Whenever a lost write lands, its approval is found [config]") {
  for (int delay_ms = 1990; delay_ms < 2120; ++delay_ms) {
    CAPTURE(delay_ms);
    ConfigBench bench;
    const StoredHead base = bench.Publish(SmallDocuments(0));
    const auto proposal = bench.Submit(SmallDocuments(1), base).value();
    std::optional<Result<Approval>> approval;
    bench.store.Approve(proposal, "ana",
                        [&](const Result<Approval>& it) { approval = it; });
    bench.clock.AdvanceUntil(
        [&] {
          return bench.model.Get(kConfigHeadsPrefix + std::string("1"))
              .has_value();
        },
        std::chrono::seconds(5));
    bench.model.DelayWrites(1, std::chrono::milliseconds(delay_ms));
    bench.clock.Advance(std::chrono::seconds(30));
    REQUIRE(approval);
    REQUIRE(approval->has_value());
    CHECK(!(*approval)->was_already_approved);
    CHECK(bench.Head().value()->head.generation == Generation(2));
  }
}

TEST_CASE("An outage ends in an error that is true [config]") {
  ConfigBench bench;
  const StoredHead base = bench.Publish(SmallDocuments(0));
  const auto proposal = bench.Submit(SmallDocuments(1), base).value();
  SUBCASE("before anything was sent") {
    bench.model.SetFault({.is_down = true});
    const auto approval = bench.Approve(proposal);
    REQUIRE(!approval);
    CHECK(approval.error().code != ErrorCode::kUnknownEffect);
    bench.model.SetFault({});
    bench.clock.Advance(std::chrono::minutes(1));
    CHECK(bench.Head().value()->head.generation == Generation(1));
  }
  SUBCASE("after the write was sent") {
    std::optional<Result<Approval>> approval;
    bench.store.Approve(proposal, "ana",
                        [&](const Result<Approval>& it) { approval = it; });
    bench.clock.AdvanceUntil(
        [&] {
          return bench.model.Get(kConfigHeadsPrefix + std::string("1"))
              .has_value();
        },
        std::chrono::seconds(5));
    bench.model.LoseReplies(1);
    bench.clock.Advance(std::chrono::milliseconds(3));
    bench.model.SetFault({.is_down = true});
    bench.clock.Advance(std::chrono::minutes(1));
    REQUIRE(approval);
    REQUIRE(!approval->has_value());
    CHECK(approval->error().code == ErrorCode::kUnknownEffect);
    bench.model.SetFault({});
    CHECK(bench.Approve(proposal)->head.head.generation == Generation(2));
  }
}

TEST_CASE("Faulty or unknown input is refused before any write [config]") {
  ConfigBench bench;
  ConfigDocuments faulty = SmallDocuments(0);
  faulty.base += "[services.chat2]\n";
  const auto submitted = bench.Submit(faulty, std::nullopt);
  REQUIRE(!submitted);
  CHECK(submitted.error().code == ErrorCode::kInvalidArgument);
  CHECK(bench.model.counters().writes == 0);
  const auto unknown = bench.Approve(std::string(64, 'a'));
  REQUIRE(!unknown);
  CHECK(unknown.error().code == ErrorCode::kNotFound);
  const auto proposal = bench.Submit(SmallDocuments(0), std::nullopt).value();
  CHECK(bench.Approve(proposal, "a\nb").error().code ==
        ErrorCode::kInvalidArgument);
}

TEST_CASE("A document that was changed in the store is refused [config]") {
  ConfigBench bench;
  const auto proposal = bench.Submit(SmallDocuments(0), std::nullopt).value();
  const std::string key =
      kConfigBlobPrefix + DigestDocuments(SmallDocuments(0)).base;
  const StoreVersion version = bench.model.Get(key)->version;
  REQUIRE(bench.model.CompareAndSwap(key, version, "x = 1\n", LeaseId(0)));
  const auto approval = bench.Approve(proposal);
  REQUIRE(!approval);
  CHECK(approval.error().code == ErrorCode::kProtocol);
}

TEST_CASE("Records are read only in the form they are written in [config]") {
  ConfigBench bench;
  const StoredHead head = bench.Publish(SmallDocuments(0));
  const std::string text = Serialize(head.head);
  CHECK(ParseConfigHead(text).value() == head.head);
  CHECK(!ParseConfigHead(text + " "));
  CHECK(!ParseConfigHead("{}"));
  CHECK(!ParseConfigHead("["));
  CHECK(!ParseConfigHead(std::string(100'000, '{')));
  CHECK(!ParseConfigProposal("{\"base\":3}"));
}

}  // namespace
}  // namespace kingcupdrift
