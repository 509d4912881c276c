#include "platform/internal/platform_state_decoder.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <nlohmann/json.hpp>

#include "kingcupdrift/forwarding/request_priority.h"

namespace kingcupdrift::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const PlatformStateDecoder kDecoder;

json Route() {
  return {{"name", "r"},
          {"host", "example"},
          {"prefix", "/p/"},
          {"kind", "streaming"},
          {"timeout_ms", 10'000},
          {"target_latency_ms", 300},
          {"target_gap_ms", 250},
          {"traffic_split",
           {{{"service", "s"}, {"weight", 90}},
            {{"service", "t"}, {"weight", 10}}}},
          {"max_attempts", 2},
          {"resume_streams", true}};
}

json Engine() {
  return {{"slots", 16},
          {"kv_cache_tokens", 315'000},
          {"stride", 51},
          {"step_ms", 0.85},
          {"per_seq_ms", 0.004},
          {"context_per_k", 0.002},
          {"read_per_s", 177'000.0},
          {"pairs_per_m", 0.2}};
}

json Config() {
  return {
      {"version", 7},
      {"routes", {Route()}},
      {"services", {{{"name", "s"}, {"engine", Engine()}}, {{"name", "t"}}}},
      {"limits",
       {{"max_header_bytes", 16'384},
        {"max_body_bytes", 4'194'304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15'000}}},
      {"tenants", {{{"name", "w"}, {"api_keys", {"k1", "k2"}}}}}};
}

TEST_CASE("a configuration is decoded into routes, services and workspaces") {
  const Result<ServingConfig> config = kDecoder.DecodeConfig(Config().dump());
  REQUIRE(config);
  CHECK(config->version == Generation(7));
  const RouteRule& route = config->routes.at(0);
  CHECK(route.is_streaming);
  CHECK(route.retry_safety == RetrySafety::kIdempotent);
  CHECK(route.shares.size() == 2);
  CHECK(route.max_event_gap == milliseconds(250));
  CHECK(route.first_event_timeout == milliseconds(2000));
  const EngineTiming& timing = *config->services.at(ServiceId("s")).engine;
  CHECK(timing.memory == TokenCount(315'000));
  CHECK(timing.base_step_time == std::chrono::microseconds(850));
  CHECK(timing.step_us_per_context_token == doctest::Approx(0.002));
  CHECK(timing.prefill_us_per_token_pair == doctest::Approx(0.0002));
  CHECK_FALSE(config->services.at(ServiceId("t")).engine);
  CHECK(config->needs_key);
  CHECK(config->workspace_of_key.at("k2") == WorkspaceId("w"));
}

// Guards against requests whose Expected-Instance is changed or left out, since
// no header can hold the ID.
TEST_CASE("a record under a key that no header can hold names no target") {
  const std::string value =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,)"
      R"("state":"ready"})";
  for (const char* const id :
       {"", " ", " i-1", "i-1 ", "i-1\r\nTenant: x", "i\n1", "i\t1", "\x7f"}) {
    CAPTURE(id);
    CHECK_FALSE(kDecoder.DecodeTarget("servers/" + std::string(id), value));
  }
  CHECK_FALSE(kDecoder.DecodeTarget(std::string("servers/i\0", 10), value));
  for (const char* const id :
       {"i-1", "i 1", "i\xc3\xa9", "i\xef\xbf\xbd", "/"}) {
    CAPTURE(id);
    CHECK(kDecoder.DecodeTarget("servers/" + std::string(id), value));
  }
}

// Failure: a priority out of range or of the wrong type reaches engines, or
// makes the whole configuration unusable.
TEST_CASE("priorities are decoded, clamped, and ignored if no numbers") {
  const auto route_priority = [](const json& value) {
    json config = Config();
    config["routes"][0]["priority"] = value;
    const Result<ServingConfig> decoded = kDecoder.DecodeConfig(config.dump());
    REQUIRE(decoded);
    return decoded->routes.at(0).priority;
  };
  CHECK(route_priority(0) == 0);
  CHECK(route_priority(9) == 9);
  CHECK(route_priority(10) == 9);
  CHECK(route_priority(-1) == 0);
  CHECK(route_priority(INT64_MIN) == 0);
  CHECK(route_priority(UINT64_MAX) == 9);
  CHECK(route_priority(1e300) == 9);
  CHECK(route_priority(2.7) == 2);
  CHECK_FALSE(route_priority(nullptr));
  CHECK_FALSE(route_priority("1"));
  CHECK_FALSE(route_priority(true));
  CHECK_FALSE(route_priority(json::array({1})));
  CHECK_FALSE(kDecoder.DecodeConfig(Config().dump())->routes.at(0).priority);
}

TEST_CASE("a workspace's priority replaces that of the route") {
  json document = Config();
  document["routes"][0]["priority"] = 3;
  document["tenants"] = {
      {{"name", "w"}, {"api_keys", {"k1"}}, {"priority", -4}},
      {{"name", "v"}, {"api_keys", {"k2"}}},
      {{"name", "u"}, {"api_keys", {"k3"}}, {"priority", "high"}}};
  const Result<ServingConfig> config = kDecoder.DecodeConfig(document.dump());
  REQUIRE(config);
  const RouteRule& route = config->routes.at(0);
  CHECK(FindPriority(*config, route, WorkspaceId("w")) == 0);
  CHECK(FindPriority(*config, route, WorkspaceId("v")) == 3);
  CHECK(FindPriority(*config, route, WorkspaceId("u")) == 3);
  CHECK(FindPriority(*config, route, WorkspaceId()) == 3);
  CHECK(HasDifferingPriorities(*config, ServiceId("s")));
}

// Negative test: nothing changes on the wire without differing priorities.
TEST_CASE("priorities differ only if two requests can have different ones") {
  json document = Config();
  document["routes"].push_back(Route());
  const auto differs = [&document] {
    return HasDifferingPriorities(*kDecoder.DecodeConfig(document.dump()),
                                  ServiceId("s"));
  };
  CHECK_FALSE(differs());
  document["routes"][0]["priority"] = kDefaultPriority;
  CHECK_FALSE(differs());
  document["routes"][0]["priority"] = 2;
  CHECK(differs());
  document["routes"][1]["priority"] = 2;
  CHECK_FALSE(differs());
  // Without anonymous requests, the workspace's priority is the only one.
  document["tenants"][0]["priority"] = 7;
  CHECK_FALSE(differs());
  document["routes"][0]["allow_anonymous"] = true;
  CHECK(differs());
}

// Guards against ageing and holds at a service whose requests all have one
// priority, because another service's requests have another one.
TEST_CASE("priorities of another service's requests make no difference") {
  json document = Config();
  document["routes"][0]["priority"] = 1;
  json other = Route();
  other["priority"] = 2;
  other.erase("traffic_split");
  other["service"] = "other";
  document["routes"].push_back(other);
  const ServingConfig config = *kDecoder.DecodeConfig(document.dump());
  CHECK_FALSE(HasDifferingPriorities(config, ServiceId("s")));
  CHECK_FALSE(HasDifferingPriorities(config, ServiceId("other")));
}

TEST_CASE("only routes of kind safe and resumable streams may be retried") {
  const auto retry_safety_of = [](const char* kind, bool resumes) {
    json config = Config();
    config["routes"][0]["kind"] = kind;
    config["routes"][0]["resume_streams"] = resumes;
    return kDecoder.DecodeConfig(config.dump())->routes.at(0).retry_safety;
  };
  CHECK(retry_safety_of("safe", false) == RetrySafety::kIdempotent);
  CHECK(retry_safety_of("unsafe", true) == RetrySafety::kOnce);
  CHECK(retry_safety_of("streaming", false) == RetrySafety::kOnce);
  CHECK(retry_safety_of("another", true) == RetrySafety::kOnce);
}

TEST_CASE("decoding an invalid configuration fails") {
  json config = Config();
  config["routes"][0].erase("prefix");
  CHECK_FALSE(kDecoder.DecodeConfig(config.dump()));
  config = Config();
  config["services"][0]["engine"]["read_per_s"] = 0;
  CHECK_FALSE(kDecoder.DecodeConfig(config.dump()));
  CHECK_FALSE(kDecoder.DecodeConfig("[]"));
}

TEST_CASE("an engine's record is decoded only if all of its fields are valid") {
  const json record = {{"service", "s"},
                       {"address", "10.1.0.1:80"},
                       {"zone", "a"},
                       {"slots", 16},
                       {"state", "ready"}};
  const auto decode = [](const json& value) {
    return kDecoder.DecodeTarget("servers/i-1", value.dump());
  };
  REQUIRE(decode(record));
  CHECK(decode(record)->address.id == EngineId("i-1"));
  CHECK_FALSE(decode(record)->is_draining);
  CHECK(decode(record)->address.incarnation == Incarnation());
  json changed = record;
  changed["born"] = 1'764'000'000'123;
  CHECK(decode(changed)->address.incarnation == Incarnation(1'764'000'000'123));
  changed["born"] = "today";
  CHECK_FALSE(decode(changed));
  changed = record;
  changed["state"] = "draining";
  CHECK(decode(changed)->is_draining);
  const json faults = {{"state", "asleep"},
                       {"slots", "many"},
                       {"slots", 0},
                       {"address", "nowhere"},
                       {"service", 4}};
  for (const auto& [key, value] : faults.items()) {
    changed = record;
    changed[key] = value;
    CHECK_FALSE(decode(changed));
  }
  CHECK_FALSE(kDecoder.DecodeTarget("servers/i-1", "\xff\xfe"));
}

// Guards against a record of another writer that ends the process or is used
// with a value beyond its range: nested deeper than the stack bears, a number
// that does not fit its type, a port out of range, or a name of any length.
TEST_CASE("a record with a value out of bounds names no engine") {
  const std::string rest = R"("zone":"a","state":"ready")";
  const auto decode = [&rest](const std::string& service,
                              const std::string& address,
                              const std::string& others) {
    return kDecoder.DecodeTarget(
        "servers/i-1", R"({"service":")" + service + R"(","address":")" +
                           address + "\"," + others + "," + rest + "}");
  };
  const std::string address = "10.1.0.1:80";
  REQUIRE(decode("s", address, R"("slots":16)"));
  constexpr std::size_t kDepth = 300'000;
  for (const char* const key : {"cold_remaining_ms", "born", "other"}) {
    for (const auto& [open, close] :
         {std::pair(std::string("["), std::string("]")),
          std::pair(std::string(R"({"a":)"), std::string("}"))}) {
      CAPTURE(key);
      std::string nested;
      for (std::size_t i = 0; i < kDepth; ++i) {
        nested += open;
      }
      nested += "1";
      for (std::size_t i = 0; i < kDepth; ++i) {
        nested += close;
      }
      CHECK_FALSE(decode(
          "s", address, R"("slots":16,")" + std::string(key) + "\":" + nested));
      CHECK_FALSE(kDecoder.DecodeTarget("servers/i-1", nested));
    }
  }
  for (const char* const others :
       {R"("slots":4294967297)", R"("slots":2147483647)", R"("slots":-1)",
        R"("slots":1e400)", R"("slots":16,"born":18446744073709551615)",
        R"("slots":16,"born":1e400)",
        R"("slots":16,"cold_remaining_ms":1e400)"}) {
    CAPTURE(others);
    CHECK_FALSE(decode("s", address, others));
  }
  for (const char* const it :
       {"10.1.0.1:65536", "10.1.0.1:99999", "10.1.0.1:0", "10.1.0.1:-80",
        "10.1.0.1:18446744073709551617", "10.1.0.1"}) {
    CAPTURE(it);
    CHECK_FALSE(decode("s", it, R"("slots":16)"));
  }
  CHECK_FALSE(decode(std::string(100'000, 's'), address, R"("slots":16)"));
}

// Guards against times that overflow when they are converted, with a result
// that differs between processors.
TEST_CASE("a configuration with a time out of range is not valid") {
  for (const json& it : {json(-1), json(1e300), json(1e18)}) {
    CAPTURE(it.dump());
    json config = Config();
    config["routes"][0]["timeout_ms"] = it;
    CHECK_FALSE(kDecoder.DecodeConfig(config.dump()));
  }
}

TEST_CASE("keys are classified by their prefix") {
  CHECK(kDecoder.ClassifyKey("op/config") == ItemKind::kConfig);
  CHECK(kDecoder.ClassifyKey("op/other") == ItemKind::kOther);
  CHECK(kDecoder.ClassifyKey("servers/i-1") == ItemKind::kTarget);
  CHECK(kDecoder.ClassifyKey("op/evacuate/a") == ItemKind::kEvacuation);
  CHECK(kDecoder.ClassifyKey("op/evacuated") == ItemKind::kOther);
  CHECK(kDecoder.ParseEvacuatedDomain("op/evacuate/a") == FailureDomain("a"));
}

}  // namespace
}  // namespace kingcupdrift::platform
