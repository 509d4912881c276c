#include "kingcupdrift/telemetry/timeline_event.h"

#include <array>
#include <nlohmann/json.hpp>

namespace kingcupdrift {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(EventKind::kCount)>
    kNames = {
        "request_arrived",
        "request_queued",
        "request_dispatched",
        "first_token",
        "request_completed",
        "request_refused",
        "request_failed",
        "request_unknown",
        "request_retried",
        "request_hedged",
        "stream_resumed",
        "caller_gone",
        "intent_written",
        "intent_tombstoned",
        "member_joined",
        "member_suspected",
        "member_refuted",
        "member_left",
        "member_died",
        "configuration_applied",
        "configuration_rejected",
        "lease_taken",
        "lease_lost",
        "order_sent",
        "order_refused",
        "reservation_made",
        "reservation_released",
        "reservation_reclaimed",
        "engine_ejected",
        "engine_returned",
        "store_unavailable",
        "store_recovered",
        "drain_started",
        "drain_finished",
};

}  // namespace

std::string_view EventKindName(EventKind kind) {
  const auto i = static_cast<std::size_t>(kind);
  return i < kNames.size() ? kNames[i] : "unknown";
}

std::string ToJsonLine(const TimelineEvent& event) {
  nlohmann::ordered_json json;
  json["wall_us"] = event.time.wall_us;
  json["logical"] = event.time.logical;
  json["instance"] = event.instance.value();
  json["kind"] = EventKindName(event.kind);
  const auto put = [&json](const char* key, const std::string& value) {
    if (!value.empty()) {
      json[key] = value;
    }
  };
  put("request", event.request.value());
  put("workspace", event.workspace.value());
  put("engine", event.engine.value());
  put("detail", event.detail);
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace kingcupdrift
