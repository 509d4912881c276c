#include "platform/internal/store_client.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "kingcupdrift/api/json_fields.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift::platform {
namespace {

using nlohmann::json;

/// A store server that answers calls with prepared statuses and bodies, in
/// order, and leaves further calls unanswered. A body that is a JSON string is
/// sent as the text that it holds.
struct FakeStoreServer : NetFixture {
  FakeStoreServer() {
    server = Serve([this](std::unique_ptr<HttpExchange> exchange) {
      calls.push_back(exchange->method() + " " + exchange->target() + " " +
                      *exchange->body());
      if (answers.empty()) {
        held.push_back(std::move(exchange));
        return;
      }
      const auto [status, body] = answers.front();
      answers.erase(answers.begin());
      HeaderList headers{{"Content-Type", "application/json"}};
      if (era) {
        headers.emplace_back("Store-Era", *era);
      }
      exchange->Respond(
          status, headers,
          std::make_shared<const std::string>(
              body.is_string() ? body.get<std::string>() : ToJson(body)));
    });
    store = CreateStoreClient(*client, server->endpoint());
  }

  std::vector<std::pair<int, json>> answers;
  /// Value of the header with the store's era; absent without one.
  std::optional<std::string> era;
  std::vector<std::string> calls;
  std::vector<std::unique_ptr<HttpExchange>> held;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<PlatformStore> store;
};

json Item(const std::string& key, int revision) {
  // "dg==" is "v" in base64.
  return {{"key", key}, {"value", "dg=="}, {"revision", revision}};
}

TEST_CASE("a listing joins its pages and has the version of the first page") {
  FakeStoreServer fake_store;
  fake_store.answers = {
      {200, {{"items", {Item("a", 3)}}, {"has_more", true}, {"at", 10}}},
      {200, {{"items", {Item("b", 12)}}, {"has_more", false}, {"at", 12}}}};
  std::optional<Result<StoreListing>> listing;
  fake_store.store->List("", [&](auto result) { listing = std::move(result); });
  fake_store.Await([&] { return listing.has_value(); });
  REQUIRE(listing->has_value());
  CHECK((*listing)->version == StoreVersion(10));
  REQUIRE((*listing)->entries.size() == 2);
  CHECK((*listing)->entries[1].value.value == "v");
  CHECK(fake_store.calls[1] == "GET /api/kv-range?prefix=&after=a ");
}

TEST_CASE("a watch reports changes and deletions and continues after them") {
  FakeStoreServer fake_store;
  fake_store.answers = {
      {200,
       {{"events",
         {Item("a", 11), {{"key", "b"}, {"revision", 12}, {"deleted", true}}}},
        {"at", 12}}}};
  std::vector<StoreEvent> events;
  const auto watch = fake_store.store->Watch(
      "", StoreVersion(10), [&](const Result<StoreEvent>& event) {
        REQUIRE(event.has_value());
        events.push_back(*event);
      });
  fake_store.Await([&] { return fake_store.calls.size() == 2; });
  REQUIRE(events.size() == 3);
  CHECK(events[0].value->value == "v");
  CHECK_FALSE(events[1].value);
  CHECK(events[2].key.empty());
  // The first answer comes at once, and shows that the store is reachable.
  CHECK(fake_store.calls[0].find("wait_ms=1 ") != std::string::npos);
  CHECK(fake_store.calls[1].find("after=12&wait_ms=700 ") != std::string::npos);
}

// Guards against one item that can't be read and keeps the whole list, or the
// watch after it, from being followed.
TEST_CASE("an item that can't be read costs no other item") {
  const json no_base64 = {{"key", "b"}, {"value", "%"}, {"revision", 12}};
  const json no_key = {{"key", 7}, {"value", "dg=="}, {"revision", 12}};
  const json no_object = json::array({1});
  FakeStoreServer fake_store;
  fake_store.answers = {
      {200,
       {{"items", {Item("a", 3), no_base64, no_key, no_object, Item("c", 4)}},
        {"has_more", true},
        {"at", 12}}},
      {200,
       {{"items", {Item("d", 5), no_base64}},
        {"has_more", false},
        {"at", 12}}}};
  std::optional<Result<StoreListing>> listing;
  fake_store.store->List("", [&](auto result) { listing = std::move(result); });
  fake_store.Await([&] { return listing.has_value(); });
  REQUIRE(listing->has_value());
  REQUIRE((*listing)->entries.size() == 3);
  CHECK((*listing)->entries[1].key == "c");
  CHECK((*listing)->entries[2].key == "d");

  fake_store.answers = {
      {200,
       {{"events",
         {Item("a", 11), no_base64, no_key, no_object, Item("c", 13)}},
        {"at", 13}}}};
  std::vector<StoreEvent> events;
  const auto watch = fake_store.store->Watch(
      "", StoreVersion(10), [&](const Result<StoreEvent>& event) {
        REQUIRE(event.has_value());
        events.push_back(*event);
      });
  fake_store.Await([&] { return events.size() == 4; });
  CHECK(events[0].key == "a");
  // Whatever the key held before is not in use any more.
  CHECK(events[1].key == "b");
  CHECK_FALSE(events[1].value);
  CHECK(events[2].key == "c");
  CHECK(events[2].value);
}

/// A key with a lone surrogate, which makes an answer no valid JSON.
const std::string kOddItem =
    R"({"key":"b\ud800","value":"dg==","revision":12})";
const std::string kItemA = R"({"key":"a","value":"dg==","revision":11})";
const std::string kItemC = R"({"key":"c","value":"dg==","revision":13})";

// Guards against an entry that follows no change any more, or never starts,
// since one item of another writer makes each answer unreadable.
TEST_CASE("listings and watches go on after an item that is no valid JSON") {
  FakeStoreServer fake_store;
  const std::string items = fmt::format("[{},{},{}]", kItemA, kOddItem, kItemC);
  fake_store.answers = {
      {200, R"({"items":)" + items + R"(,"has_more":false,"at":13})"},
      {200, R"({"events":)" + items + R"(,"at":13})"}};
  std::optional<Result<StoreListing>> listing;
  fake_store.store->List("", [&](auto result) { listing = std::move(result); });
  fake_store.Await([&] { return listing.has_value(); });
  REQUIRE(listing->has_value());
  CHECK((*listing)->version == StoreVersion(13));
  REQUIRE((*listing)->entries.size() == 2);
  CHECK((*listing)->entries[0].key == "a");
  CHECK((*listing)->entries[1].key == "c");
  CHECK(fake_store.store->GetReadFaults().items == 1);

  std::vector<StoreEvent> events;
  const auto watch = fake_store.store->Watch(
      "", StoreVersion(10), [&](const Result<StoreEvent>& event) {
        REQUIRE(event.has_value());
        events.push_back(*event);
      });
  fake_store.Await([&] { return fake_store.calls.size() == 3; });
  REQUIRE(events.size() == 3);
  CHECK(events[0].key == "a");
  CHECK(events[1].key == "c");
  CHECK(fake_store.calls[2].find("after=13&") != std::string::npos);
  CHECK(fake_store.store->GetReadFaults().items == 2);
  CHECK(fake_store.store->GetReadFaults().answers == 0);
}

TEST_CASE("a listing goes on after a page that ends with an unreadable key") {
  for (const std::string& page :
       {kOddItem, fmt::format("{},{}", kItemA, kOddItem)}) {
    CAPTURE(page);
    FakeStoreServer fake_store;
    fake_store.answers = {
        {200, R"({"items":[)" + page + R"(],"has_more":true,"at":13})"},
        {200, R"({"items":[)" + kItemC + R"(],"has_more":false,"at":13})"}};
    std::optional<Result<StoreListing>> listing;
    fake_store.store->List("",
                           [&](auto result) { listing = std::move(result); });
    fake_store.Await([&] { return listing.has_value(); });
    REQUIRE(listing->has_value());
    CHECK((*listing)->entries.back().key == "c");
    CHECK(fake_store.calls[1] == "GET /api/kv-range?prefix=&after=b%EF%BF%BD ");
  }
}

// Guards against a listing without end.
TEST_CASE("a listing whose next page is the same one fails") {
  const std::string page =
      R"({"items":[)" + kOddItem + R"(],"has_more":true,"at":13})";
  FakeStoreServer fake_store;
  fake_store.answers = {{200, page}, {200, page}};
  std::optional<Result<StoreListing>> listing;
  fake_store.store->List("", [&](auto result) { listing = std::move(result); });
  fake_store.Await([&] { return listing.has_value(); });
  REQUIRE_FALSE(listing->has_value());
  CHECK(listing->error().code == ErrorCode::kProtocol);
  CHECK(fake_store.calls.size() == 2);
}

TEST_CASE("answers that can't be read are counted") {
  FakeStoreServer fake_store;
  fake_store.answers = {
      {200, "{"}, {200, R"({"at":3})"}, {200, R"({"items":[],"at":3})"}};
  const auto list = [&] {
    std::optional<Result<StoreListing>> listing;
    fake_store.store->List("",
                           [&](auto result) { listing = std::move(result); });
    fake_store.Await([&] { return listing.has_value(); });
    return *std::move(listing);
  };
  CHECK(list().error().code == ErrorCode::kProtocol);
  CHECK(list().error().code == ErrorCode::kProtocol);
  CHECK(list().has_value());
  CHECK(fake_store.store->GetReadFaults().answers == 2);
}

// Guards against work for versions of a large value that are already replaced.
TEST_CASE("a watch reports only the last value of a key in one answer") {
  FakeStoreServer fake_store;
  const json deleted = {{"key", "b"}, {"revision", 14}, {"deleted", true}};
  fake_store.answers = {{200,
                         {{"events",
                           {Item("a", 11), Item("a", 12), Item("b", 13),
                            deleted, Item("b", 15), Item("a", 16)}},
                          {"at", 16}}}};
  std::vector<StoreEvent> events;
  const auto watch = fake_store.store->Watch(
      "", StoreVersion(10), [&](const Result<StoreEvent>& event) {
        REQUIRE(event.has_value());
        events.push_back(*event);
      });
  fake_store.Await([&] { return fake_store.calls.size() == 2; });
  REQUIRE(events.size() == 5);
  CHECK(events[0].version == StoreVersion(13));
  // A deletion may mean that a process ended, and is never left out.
  CHECK_FALSE(events[1].value);
  CHECK(events[2].version == StoreVersion(15));
  CHECK(events[3].version == StoreVersion(16));
}

TEST_CASE("a watch fails with kNotFound if the store dropped its history") {
  FakeStoreServer fake_store;
  fake_store.answers = {{410, json::object()}};
  std::optional<ErrorCode> code;
  const auto watch = fake_store.store->Watch(
      "", StoreVersion(10),
      [&](const Result<StoreEvent>& event) { code = event.error().code; });
  fake_store.Await([&] { return code.has_value(); });
  CHECK(*code == ErrorCode::kNotFound);
}

TEST_CASE("a write's status says if it has taken effect") {
  FakeStoreServer fake_store;
  const auto write = [&](int status, const json& body) {
    fake_store.answers = {{status, body}};
    std::optional<Result<StoreVersion>> written;
    fake_store.store->CompareAndSwap("k", StoreVersion(4), "v", LeaseId(7),
                                     [&](auto result) { written = result; });
    fake_store.Await([&] { return written.has_value(); });
    return *written;
  };
  CHECK(write(200, {{"revision", 5}}) == StoreVersion(5));
  CHECK(fake_store.calls[0] ==
        "POST /api/kv-txn "
        "{\"precondition\":[{\"key\":\"k\",\"revision\":4}],\"remove\":[],"
        "\"writes\":[{\"key\":\"k\",\"lease\":7,\"value\":\"dg==\"}]}");
  CHECK(write(412, json::object()).error().code == ErrorCode::kConflict);
  CHECK(write(404, json::object()).error().code == ErrorCode::kNotFound);
  CHECK(write(503, json::object()).error().code == ErrorCode::kUnavailable);
  CHECK(write(429, json::object()).error().code == ErrorCode::kUnavailable);
  CHECK(write(500, json::object()).error().code == ErrorCode::kUnknownEffect);
  CHECK(write(200, json::object()).error().code == ErrorCode::kUnknownEffect);
}

TEST_CASE("a lease is granted, and renewing an ended lease fails") {
  FakeStoreServer fake_store;
  fake_store.answers = {{200, {{"lease", 7}, {"ttl_ms", 5000}}},
                        {404, json::object()}};
  std::optional<Result<LeaseId>> lease;
  fake_store.store->GrantLease(std::chrono::seconds(5),
                               [&](auto result) { lease = result; });
  fake_store.Await([&] { return lease.has_value(); });
  CHECK(*lease == LeaseId(7));
  std::optional<Result<void>> renewed;
  fake_store.store->KeepAlive(LeaseId(7),
                              [&](auto result) { renewed = result; });
  fake_store.Await([&] { return renewed.has_value(); });
  CHECK(renewed->error().code == ErrorCode::kNotFound);
  CHECK(fake_store.calls[1] == "POST /api/kv-keep/7 {}");
}

TEST_CASE("listings and watches carry the store's era if it is readable") {
  FakeStoreServer fake_store;
  const auto list_era = [&](std::optional<std::string> era) {
    fake_store.era = std::move(era);
    fake_store.answers = {
        {200, {{"items", json::array()}, {"has_more", false}, {"at", 4}}}};
    std::optional<Result<StoreListing>> listing;
    fake_store.store->List("",
                           [&](auto result) { listing = std::move(result); });
    fake_store.Await([&] { return listing.has_value(); });
    return listing->value().era;
  };
  CHECK(list_era("3") == StoreEra(3));
  CHECK(list_era("0") == StoreEra(0));
  for (const char* const it :
       {"", "-1", "x", "3x", "1.5", "99999999999999999999"}) {
    CHECK_FALSE(list_era(it));
  }
  CHECK_FALSE(list_era(std::nullopt));

  fake_store.era = "4";
  fake_store.answers = {{200, {{"events", {Item("a", 11)}}, {"at", 12}}}};
  std::vector<StoreEvent> events;
  const auto watch = fake_store.store->Watch(
      "", StoreVersion(10), [&](const Result<StoreEvent>& event) {
        REQUIRE(event.has_value());
        events.push_back(*event);
      });
  fake_store.Await([&] { return events.size() == 2; });
  CHECK(events[0].era == StoreEra(4));
  CHECK(events[1].era == StoreEra(4));
}

TEST_CASE("a listing whose pages are of different eras fails") {
  FakeStoreServer fake_store;
  fake_store.era = "1";
  fake_store.answers = {
      {200, {{"items", {Item("a", 3)}}, {"has_more", true}, {"at", 10}}}};
  std::optional<Result<StoreListing>> listing;
  fake_store.store->List("", [&](auto result) { listing = std::move(result); });
  fake_store.Await([&] { return fake_store.held.size() == 1; });
  fake_store.held[0]->Respond(
      200, {{"Content-Type", "application/json"}, {"Store-Era", "2"}},
      std::make_shared<const std::string>(
          ToJson({{"items", {Item("b", 2)}}, {"has_more", false}, {"at", 5}})));
  fake_store.Await([&] { return listing.has_value(); });
  REQUIRE_FALSE(listing->has_value());
  CHECK(listing->error().code == ErrorCode::kConnectionLost);
}

}  // namespace
}  // namespace kingcupdrift::platform
