#include "platform/settings.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace kingcupdrift::platform {
namespace {

using nlohmann::json;

json Document() {
  return {{"node_name", "front-1"},
          {"zone", "a"},
          {"ip_address", "10.0.0.1"},
          {"a_new_field", 7},
          {"listen_addresses",
           {{"frontend", "10.0.0.1:8001"},
            {"ready", "10.0.0.1:8002"},
            {"directory", "10.0.0.1:8003"}}},
          {"internal_port_range", {7000, 7015}},
          {"limits", {{"cpu_share", 0.25}, {"cpu_cores", 2}}},
          {"bounds",
           {{"grace_period_s", 8},
            {"ttl_max_s", 5},
            {"retry_budget_ratio", 0.2},
            {"budget_window_s", 10},
            {"budget_extra_retries", 104}}},
          {"platform", {{"address", "10.0.0.9:8200"}}}};
}

TEST_CASE("settings are parsed and unknown fields are ignored") {
  const Result<Settings> settings = ParseSettings(Document().dump());
  REQUIRE(settings);
  CHECK(settings->node == "front-1");
  CHECK(settings->caller_endpoint == Endpoint{"10.0.0.1", 8001});
  CHECK(settings->peer_endpoint == Endpoint{"10.0.0.1", 7000});
  CHECK(settings->address_endpoint == Endpoint{"10.0.0.1", 8003});
  CHECK(settings->stop_limit == std::chrono::seconds(8));
  CHECK(settings->max_extra_retries == 104);
  CHECK(settings->cores == 0.5);
  CHECK_FALSE(settings->cold_bound);
}

TEST_CASE("the bound for cold engines is optional, and no reason to fail") {
  json document = Document();
  document["bounds"]["cold_overshoot"] = 1.5;
  document["bounds"]["cold_slack"] = 5;
  const Result<Settings> settings = ParseSettings(document.dump());
  REQUIRE(settings);
  REQUIRE(settings->cold_bound);
  CHECK(settings->cold_bound->slack == 5);
  document["bounds"]["cold_slack"] = "five";
  const Result<Settings> wrong = ParseSettings(document.dump());
  REQUIRE(wrong);
  CHECK_FALSE(wrong->cold_bound);
}

TEST_CASE("a missing or malformed field is an error that names it") {
  const auto fault = [](const char* pointer, const json& value) {
    json document = Document();
    document[json::json_pointer(pointer)] = value;
    const Result<Settings> settings = ParseSettings(document.dump());
    return settings ? std::string() : settings.error().detail;
  };
  CHECK(fault("/node_name", nullptr).find("node_name") != std::string::npos);
  CHECK(fault("/platform/address", "here").find("address") !=
        std::string::npos);
  CHECK(fault("/bounds/grace_period_s", "8").find("grace_period_s") !=
        std::string::npos);
  CHECK(fault("/internal_port_range", json::array())
            .find("internal_port_range") != std::string::npos);
  CHECK(fault("/listen_addresses/frontend", 8001).find("frontend") !=
        std::string::npos);
  CHECK_FALSE(ParseSettings("{"));
  const auto missing = ReadSettings("no/such/file");
  REQUIRE_FALSE(missing);
  CHECK(missing.error().detail.find("no/such/file") != std::string::npos);
}

// Guards against an entry that does not start with, or ignores, its limit.
TEST_CASE("the memory limit is optional, and absurd ones are errors") {
  const auto parse = [](const json& value) {
    json document = Document();
    document["limits"]["memory_mb"] = value;
    return ParseSettings(document.dump());
  };
  REQUIRE(ParseSettings(Document().dump()));
  CHECK_FALSE(ParseSettings(Document().dump())->memory_limit);
  CHECK(parse(160)->memory_limit == ByteCount(160'000'000));
  CHECK(parse(0.5)->memory_limit == ByteCount(500'000));
  CHECK_FALSE(parse(0)->memory_limit);
  CHECK_FALSE(parse(nullptr)->memory_limit);
  for (const json& it : {json(-1), json(1e300), json("160"), json::array()}) {
    const Result<Settings> settings = parse(it);
    REQUIRE_FALSE(settings);
    CHECK(settings.error().detail.find("memory_mb") != std::string::npos);
  }
}

}  // namespace
}  // namespace kingcupdrift::platform
