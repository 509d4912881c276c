#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupdrift/config/config.h"
#include "tests/config/config_harness.h"

namespace kingcupdrift {
namespace {

std::vector<ConfigHead> History(ConfigHarness& harness,
                                std::size_t limit = 100) {
  return harness
      .Await<std::vector<ConfigHead>>(
          [&](auto callback) { harness.store.History(limit, callback); })
      .value();
}

TEST_CASE("Submitted documents take effect only when approved [config]") {
  ConfigHarness harness;
  const ConfigDocuments documents = SmallDocuments(1);
  const auto proposal = harness.Submit(documents, std::nullopt);
  REQUIRE(proposal);
  CHECK(!harness.Head().value().has_value());
  const auto approval = harness.Approve(*proposal);
  REQUIRE(approval);
  CHECK(!approval->was_already_approved);
  const StoredHead head = harness.Head().value().value();
  CHECK(head.digest == approval->head.digest);
  CHECK(head.head.generation == Generation(1));
  CHECK(head.head.approver == "ana");
  const auto loaded = harness.Await<ConfigDocuments>([&](auto callback) {
    harness.store.LoadDocuments(head.head.documents, callback);
  });
  CHECK(loaded.value() == documents);
}

TEST_CASE("The history of heads is a valid hash chain [config]") {
  ConfigHarness harness;
  for (int i = 0; i < 5; ++i) {
    harness.Publish(SmallDocuments(i));
  }
  std::vector<ConfigHead> records = History(harness);
  REQUIRE(records.size() == 5);
  CHECK(VerifyHeadChain(records).has_value());
  CHECK(History(harness, 2).size() == 2);

  std::vector<ConfigHead> altered = records;
  altered[2].approver = "mallory";
  CHECK(!VerifyHeadChain(altered).has_value());
  std::vector<ConfigHead> shortened = records;
  shortened.erase(shortened.begin() + 2);
  CHECK(!VerifyHeadChain(shortened).has_value());
  records[0].previous = std::string(64, 'a');
  CHECK(!VerifyHeadChain(records).has_value());
}

TEST_CASE("Approving an approved proposal again changes nothing [config]") {
  ConfigHarness harness;
  const auto proposal = harness.Submit(SmallDocuments(1), std::nullopt).value();
  const auto first = harness.Approve(proposal).value();
  const auto again = harness.Approve(proposal, "carla").value();
  CHECK(again.was_already_approved);
  CHECK(again.head.digest == first.head.digest);
  harness.Publish(SmallDocuments(2));
  const auto late = harness.Approve(proposal).value();
  CHECK(late.was_already_approved);
  CHECK(late.head.head.generation == Generation(1));
  CHECK(harness.Head().value()->head.generation == Generation(2));
}

TEST_CASE(
    "One of two concurrent approvals wins, both proposals stay [config]") {
  ConfigHarness harness;
  const StoredHead base = harness.Publish(SmallDocuments(0));
  const auto a = harness.Submit(SmallDocuments(1), base).value();
  const auto b = harness.Submit(SmallDocuments(2), base).value();
  const auto other = harness.NewClient();
  ConfigStore rival(*other, harness.clock, harness.random,
                    std::chrono::seconds(10));
  std::optional<Result<Approval>> second;
  rival.Approve(b, "carla", [&](const Result<Approval>& it) { second = it; });
  const auto first = harness.Approve(a);
  harness.clock.AdvanceUntil([&] { return second.has_value(); },
                             std::chrono::minutes(1));
  REQUIRE(second);
  CHECK(first.has_value() != second->has_value());
  const Error& lost = first ? second->error() : first.error();
  CHECK(lost.code == ErrorCode::kConflict);
  CHECK(harness.Head().value()->head.generation == Generation(2));
  for (const std::string& digest : {a, b}) {
    const auto kept = harness.Await<ConfigProposal>(
        [&](auto callback) { harness.store.LoadProposal(digest, callback); });
    CHECK(kept.has_value());
  }
}

TEST_CASE("A proposal based on an older head is refused [config]") {
  ConfigHarness harness;
  const StoredHead head = harness.Publish(SmallDocuments(0));
  ConfigDocuments overlay_change = SmallDocuments(0);
  overlay_change.overlays[kAndina] = "[services.chat]\nmax_queued = 20\n";
  const auto proposal = harness.Submit(overlay_change, head).value();
  harness.Publish(SmallDocuments(1));
  const auto approval = harness.Approve(proposal);
  REQUIRE(!approval);
  CHECK(approval.error().code == ErrorCode::kConflict);
  // Based on the new head it is approved, and the change of the base stays.
  overlay_change.base = SmallDocuments(1).base;
  const StoredHead rebased = harness.Publish(overlay_change);
  CHECK(rebased.head.generation == Generation(3));
}

TEST_CASE("An approval succeeds when replies to its writes are lost [config]") {
  ConfigHarness harness;
  const StoredHead base = harness.Publish(SmallDocuments(0));
  const auto proposal = harness.Submit(SmallDocuments(1), base).value();
  // The first write stores the old head's record in the history, the second
  // replaces the head.
  SUBCASE("the reply to the history write") {
    harness.model.LoseReplies(1);
  }
  SUBCASE("the replies to both writes") {
    harness.model.LoseReplies(2);
  }
  const auto approval = harness.Approve(proposal);
  REQUIRE(approval);
  CHECK(!approval->was_already_approved);
  CHECK(harness.Head().value()->digest == approval->head.digest);
  CHECK(VerifyHeadChain(History(harness)).has_value());
}

TEST_CASE("A delayed write does not undo a later approval [config]") {
  ConfigHarness harness;
  const StoredHead base = harness.Publish(SmallDocuments(0));
  const auto a = harness.Submit(SmallDocuments(1), base).value();
  const auto b = harness.Submit(SmallDocuments(2), base).value();
  harness.model.DelayWrites(2, std::chrono::seconds(8));
  const auto first = harness.Approve(a);
  const auto second = harness.Approve(b, "carla");
  harness.clock.Advance(std::chrono::minutes(1));
  const StoredHead head = harness.Head().value().value();
  CHECK(head.head.generation == Generation(2));
  CHECK(first.has_value() != second.has_value());
  CHECK(head.head.proposal == (first ? a : b));
}

TEST_CASE(
    "An approval succeeds whenever its delayed write takes effect [config]") {
  for (int delay_ms = 1990; delay_ms < 2120; ++delay_ms) {
    CAPTURE(delay_ms);
    ConfigHarness harness;
    const StoredHead base = harness.Publish(SmallDocuments(0));
    const auto proposal = harness.Submit(SmallDocuments(1), base).value();
    std::optional<Result<Approval>> approval;
    harness.store.Approve(proposal, "ana",
                          [&](const Result<Approval>& it) { approval = it; });
    harness.clock.AdvanceUntil(
        [&] {
          return harness.model.Get(kConfigHeadRecordPrefix + std::string("1"))
              .has_value();
        },
        std::chrono::seconds(5));
    harness.model.DelayWrites(1, std::chrono::milliseconds(delay_ms));
    harness.clock.Advance(std::chrono::seconds(30));
    REQUIRE(approval);
    REQUIRE(approval->has_value());
    CHECK(!(*approval)->was_already_approved);
    CHECK(harness.Head().value()->head.generation == Generation(2));
  }
}

TEST_CASE(
    "The error after an outage says if a write may take effect [config]") {
  ConfigHarness harness;
  const StoredHead base = harness.Publish(SmallDocuments(0));
  const auto proposal = harness.Submit(SmallDocuments(1), base).value();
  SUBCASE("outage before the write of the head is sent") {
    harness.model.SetFault({.is_down = true});
    const auto approval = harness.Approve(proposal);
    REQUIRE(!approval);
    CHECK(approval.error().code != ErrorCode::kUnknownEffect);
    harness.model.SetFault({});
    harness.clock.Advance(std::chrono::minutes(1));
    CHECK(harness.Head().value()->head.generation == Generation(1));
  }
  SUBCASE("outage after the write of the head was sent") {
    std::optional<Result<Approval>> approval;
    harness.store.Approve(proposal, "ana",
                          [&](const Result<Approval>& it) { approval = it; });
    harness.clock.AdvanceUntil(
        [&] {
          return harness.model.Get(kConfigHeadRecordPrefix + std::string("1"))
              .has_value();
        },
        std::chrono::seconds(5));
    harness.model.LoseReplies(1);
    harness.clock.Advance(std::chrono::milliseconds(3));
    harness.model.SetFault({.is_down = true});
    harness.clock.Advance(std::chrono::minutes(1));
    REQUIRE(approval);
    REQUIRE(!approval->has_value());
    CHECK(approval->error().code == ErrorCode::kUnknownEffect);
    harness.model.SetFault({});
    CHECK(harness.Approve(proposal)->head.head.generation == Generation(2));
  }
}

TEST_CASE("Faulty or unknown input is refused before any write [config]") {
  ConfigHarness harness;
  ConfigDocuments faulty = SmallDocuments(0);
  faulty.base += "[services.chat2]\n";
  const auto submitted = harness.Submit(faulty, std::nullopt);
  REQUIRE(!submitted);
  CHECK(submitted.error().code == ErrorCode::kInvalidArgument);
  CHECK(harness.model.counters().writes == 0);
  const auto unknown = harness.Approve(std::string(64, 'a'));
  REQUIRE(!unknown);
  CHECK(unknown.error().code == ErrorCode::kNotFound);
  const auto proposal = harness.Submit(SmallDocuments(0), std::nullopt).value();
  CHECK(harness.Approve(proposal, "a\nb").error().code ==
        ErrorCode::kInvalidArgument);
}

TEST_CASE(
    "A stored document that does not match its digest is refused [config]") {
  ConfigHarness harness;
  const auto proposal = harness.Submit(SmallDocuments(0), std::nullopt).value();
  const std::string key =
      kConfigBlobPrefix + DigestDocuments(SmallDocuments(0)).base;
  const StoreVersion version = harness.model.Get(key)->version;
  REQUIRE(harness.model.CompareAndSwap(key, version, "x = 1\n", LeaseId(0)));
  const auto approval = harness.Approve(proposal);
  REQUIRE(!approval);
  CHECK(approval.error().code == ErrorCode::kProtocol);
}

TEST_CASE("Only the serialized form of a record is parsed [config]") {
  ConfigHarness harness;
  const StoredHead head = harness.Publish(SmallDocuments(0));
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
