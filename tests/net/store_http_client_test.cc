#include "kingcupdrift/net/store_http_client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/net/internal/store_protocol.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Serves a fake store that answers each path with the text in `answers`, and
/// leaves paths without one unanswered.
struct StoreFixture : NetFixture {
  StoreFixture() {
    server = Serve([this](std::unique_ptr<HttpExchange> exchange) {
      Handle(std::move(exchange));
    });
    Connect(server->endpoint());
  }

  void Connect(const Endpoint& endpoint) {
    StoreClientSettings settings;
    settings.endpoint = endpoint;
    settings.call_timeout = milliseconds(100);
    settings.watch_renewal = milliseconds(50);
    store = CreateStoreHttpClient(*client, clock, settings);
  }

  void Handle(std::unique_ptr<HttpExchange> exchange) {
    const std::string path(exchange->GetPath());
    requests[path].push_back(json::parse(*exchange->body()));
    if (path == "/v3/watch") {
      exchange->StartChunked(200, {});
      exchange->WriteChunk("{\"result\":{\"created\":true}}\n");
      watches.push_back(std::move(exchange));
    } else if (answers.count(path) == 0) {
      kept.push_back(std::move(exchange));
    } else {
      exchange->RespondText(status, "application/json", answers[path]);
    }
  }

  Result<StoreVersion> Swap(StoreVersion expected) {
    std::optional<Result<StoreVersion>> result;
    store->CompareAndSwap("k", expected, "v", LeaseId(7),
                          [&](auto written) { result = written; });
    Await([&] { return result.has_value(); });
    return *result;
  }

  Result<std::optional<StoreValue>> Get() {
    std::optional<Result<std::optional<StoreValue>>> result;
    store->Get("k", [&](auto value) { result = std::move(value); });
    Await([&] { return result.has_value(); });
    return *result;
  }

  std::unique_ptr<HttpServer> server;
  std::unique_ptr<PlatformStore> store;
  int status = 200;
  std::map<std::string, std::string> answers;
  std::map<std::string, std::vector<json>> requests;
  std::vector<std::unique_ptr<HttpExchange>> kept;
  std::vector<std::unique_ptr<HttpExchange>> watches;
};

TEST_CASE("A get returns a value with its version, or none [store]") {
  StoreFixture net;
  net.answers["/v3/kv/range"] =
      R"({"kvs":[{"key":"aw==","value":"dg==","mod_revision":"12"}]})";
  const auto value = net.Get();
  REQUIRE(value.has_value());
  CHECK((*value)->value == "v");
  CHECK((*value)->version == StoreVersion(12));
  net.answers["/v3/kv/range"] = R"({"header":{"revision":"3"}})";
  const auto absent = net.Get();
  REQUIRE(absent.has_value());
  CHECK(!absent->has_value());
}

TEST_CASE("A swap sends key, version and lease and reports conflicts [store]") {
  StoreFixture net;
  net.answers["/v3/kv/txn"] =
      R"({"header":{"revision":"13"},"succeeded":true})";
  CHECK(net.Swap(StoreVersion(4)) == StoreVersion(13));
  const json& sent = net.requests["/v3/kv/txn"].at(0);
  CHECK(sent["compare"][0]["key"] == "aw==");
  CHECK(sent["compare"][0]["mod_revision"] == "4");
  CHECK(sent["success"][0]["request_put"]["value"] == "dg==");
  CHECK(sent["success"][0]["request_put"]["lease"] == "7");
  net.answers["/v3/kv/txn"] = R"({"header":{"revision":"13"}})";
  CHECK(net.Swap(StoreVersion(4)).error().code == ErrorCode::kConflict);
}

TEST_CASE("A write without a valid response has an unknown effect [store]") {
  StoreFixture net;
  // No response, a malformed one, and an error of the gateway itself.
  CHECK(net.Swap(StoreVersion(0)).error().code == ErrorCode::kUnknownEffect);
  net.answers["/v3/kv/txn"] = "garbage";
  CHECK(net.Swap(StoreVersion(0)).error().code == ErrorCode::kUnknownEffect);
  net.status = 503;
  CHECK(net.Swap(StoreVersion(0)).error().code == ErrorCode::kUnknownEffect);
}

TEST_CASE("A timeout and an unreachable store give different errors [store]") {
  StoreFixture net;
  CHECK(net.Get().error().code == ErrorCode::kDeadlineExceeded);
  const Endpoint endpoint = net.server->endpoint();
  net.kept.clear();
  net.server.reset();
  net.Connect(endpoint);
  CHECK(net.Get().error().code == ErrorCode::kUnavailable);
  CHECK(net.Swap(StoreVersion(0)).error().code == ErrorCode::kUnavailable);
}

TEST_CASE("Calls of a store that accepts but never answers time out [store]") {
  StoreFixture net;
  const SilentListener silent;
  net.Connect(silent.endpoint);
  CHECK(net.Get().error().code == ErrorCode::kDeadlineExceeded);
  CHECK(net.Swap(StoreVersion(0)).error().code == ErrorCode::kUnknownEffect);
}

TEST_CASE("Keeping an expired lease alive fails with kNotFound [store]") {
  StoreFixture net;
  net.answers["/v3/lease/keepalive"] = R"({"result":{"ID":"7","TTL":"0"}})";
  std::optional<Result<void>> done;
  net.store->KeepAlive(LeaseId(7), [&](auto result) { done = result; });
  net.Await([&] { return done.has_value(); });
  CHECK(done->error().code == ErrorCode::kNotFound);
}

TEST_CASE("A watch reconnects without losing events [store]") {
  StoreFixture net;
  std::vector<StoreEvent> events;
  const auto watch = net.store->Watch("k", StoreVersion(10),
                                      [&](const Result<StoreEvent>& event) {
                                        REQUIRE(event.has_value());
                                        events.push_back(*event);
                                      });
  net.Await([&] { return net.watches.size() == 1; });
  // An event in two chunks.
  net.watches[0]->WriteChunk(
      R"({"result":{"events":[{"kv":{"key":"a2E=","val)");
  net.watches[0]->WriteChunk("ue\":\"dg==\",\"mod_revision\":\"15\"}}]}}\n");
  net.Await([&] { return events.size() == 1; });
  CHECK(events[0].key == "ka");
  CHECK(events[0].value->value == "v");
  // The first connection sends nothing more.
  net.Await([&] { return net.watches.size() == 2; });
  const json& again = net.requests["/v3/watch"].at(1)["create_request"];
  CHECK(again["start_revision"] == "16");
  net.watches[1]->WriteChunk(
      R"({"result":{"events":[{"type":"DELETE","kv":{"key":"a2E=",)"
      "\"mod_revision\":\"17\"}}]}}\n");
  net.Await([&] { return events.size() == 2; });
  CHECK(!events[1].value.has_value());
  CHECK(events[1].version == StoreVersion(17));
}

TEST_CASE("A watch fails once and may be destroyed in the callback [store]") {
  StoreFixture net;
  std::unique_ptr<StoreWatch> watch;
  int failures = 0;
  watch = net.store->Watch("k", StoreVersion(0),
                           [&](const Result<StoreEvent>& event) {
                             CHECK(!event.has_value());
                             ++failures;
                             watch.reset();
                           });
  net.Await([&] { return net.watches.size() == 1; });
  net.watches[0]->WriteChunk("{\"result\":{\"canceled\":true}}\n");
  net.Await([&] { return failures == 1; });
  CHECK(watch == nullptr);
}

TEST_CASE("A watch fails if the store never answers [store]") {
  StoreFixture net;
  const SilentListener silent;
  net.Connect(silent.endpoint);
  std::optional<Error> error;
  const auto watch = net.store->Watch(
      "k", StoreVersion(0), [&](const auto& event) { error = event.error(); });
  net.Await([&] { return error.has_value(); });
}

TEST_CASE("The end of a prefix range drops trailing 0xff bytes [store]") {
  CHECK(GetPrefixRangeEnd("ab") == "ac");
  CHECK(GetPrefixRangeEnd("a\xff") == "b");
  CHECK(GetPrefixRangeEnd("") == std::string(1, '\0'));
}

}  // namespace
}  // namespace kingcupdrift
