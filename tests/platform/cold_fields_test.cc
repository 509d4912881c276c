#include "platform/internal/cold_fields.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "platform/internal/platform_state_decoder.h"
#include "platform/internal/wire_headers.h"

namespace kingcupdrift::platform {
namespace {

using nlohmann::json;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const PlatformStateDecoder kDecoder;

ServiceSpec DecodeService(json service) {
  service["name"] = "s";
  const json config = {
      {"version", 1}, {"routes", json::array()}, {"services", {service}}};
  const Result<ServingConfig> decoded = kDecoder.DecodeConfig(config.dump());
  REQUIRE(decoded);
  return decoded->services.at(ServiceId("s"));
}

std::optional<Duration> DecodeRecord(const json& left) {
  json record = {{"address", "10.0.0.1:80"},
                 {"service", "s"},
                 {"zone", "a"},
                 {"slots", 12},
                 {"state", "ready"}};
  if (!left.is_discarded()) {
    record["cold_remaining_ms"] = left;
  }
  const Result<TargetRecord> decoded =
      kDecoder.DecodeTarget("servers/e", record.dump());
  // A wrong figure must not remove the engine.
  REQUIRE(decoded);
  return decoded->cold_left;
}

TEST_CASE("a service's figures for cold engines are decoded") {
  const ServiceSpec spec =
      DecodeService({{"cold_start_s", 3.5}, {"cold_per_s", 14}});
  CHECK(spec.cold_time == milliseconds(3500));
  CHECK(spec.cold_requests_per_second == 14);
  CHECK(
      DecodeService({{"cold_start_s", 1e300}, {"cold_per_s", 14}}).cold_time ==
      hours(24));
}

// Guards against a configuration that is rejected because of one figure.
TEST_CASE("a service with wrong figures has no limit for cold engines") {
  for (const json& it :
       {json::object(), json{{"cold_start_s", 3}}, json{{"cold_per_s", 14}},
        json{{"cold_start_s", 0}, {"cold_per_s", 14}},
        json{{"cold_start_s", 3}, {"cold_per_s", 0}},
        json{{"cold_start_s", -3}, {"cold_per_s", 14}},
        json{{"cold_start_s", 3}, {"cold_per_s", -14}},
        json{{"cold_start_s", "3"}, {"cold_per_s", 14}},
        json{{"cold_start_s", 3}, {"cold_per_s", nullptr}}}) {
    CAPTURE(it.dump());
    const ServiceSpec spec = DecodeService(it);
    CHECK(spec.cold_time == Duration::zero());
    CHECK(spec.cold_requests_per_second == 0);
  }
}

TEST_CASE("an engine's record may tell how much longer it is cold") {
  CHECK(DecodeRecord(2500) == seconds(2) + milliseconds(500));
  CHECK(DecodeRecord(0) == Duration::zero());
  CHECK(DecodeRecord(1e300) == hours(24));
  CHECK_FALSE(DecodeRecord(json(json::value_t::discarded)));
  for (const json& it : {json(-1), json("2500"), json(nullptr), json(true)}) {
    CHECK_FALSE(DecodeRecord(it));
  }
}

TEST_CASE("an engine's answer may tell how much longer it is cold") {
  const auto left = [](int status, const std::string& value) {
    return DecodeNotice(status, {{"Cold-Milliseconds", value}}).cold_left;
  };
  CHECK(left(200, "2500") == milliseconds(2500));
  CHECK(left(503, "0") == Duration::zero());
  CHECK(left(200, "1e300") == hours(24));
  for (const char* const it : {"", "-1", "nan", "inf", "soon", "3s"}) {
    CHECK_FALSE(left(200, it));
  }
  CHECK_FALSE(DecodeNotice(200, {}).cold_left);
  // Another engine has the address now.
  CHECK_FALSE(left(421, "2500"));
}

TEST_CASE("the bound for cold engines needs both of its figures") {
  const auto decode = [](const json& bounds) {
    const JsonDocument document(bounds.dump());
    return DecodeColdBound(FieldReader(document.root(), "bounds"));
  };
  const auto bound = decode({{"cold_overshoot", 1.5}, {"cold_slack", 5}});
  REQUIRE(bound);
  CHECK(bound->overshoot == 1.5);
  CHECK(bound->slack == 5);
  for (const json& it :
       {json::object(), json{{"cold_overshoot", 1.5}}, json{{"cold_slack", 5}},
        json{{"cold_overshoot", 0}, {"cold_slack", 5}},
        json{{"cold_overshoot", -1}, {"cold_slack", 5}},
        json{{"cold_overshoot", 1.5}, {"cold_slack", -5}},
        json{{"cold_overshoot", "1.5"}, {"cold_slack", 5}}}) {
    CAPTURE(it.dump());
    CHECK_FALSE(decode(it));
  }
}

}  // namespace
}  // namespace kingcupdrift::platform
