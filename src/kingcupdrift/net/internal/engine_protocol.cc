#include "kingcupdrift/net/internal/engine_protocol.h"

#include <event2/http.h>

#include <chrono>
#include <cstdlib>
#include <utility>

#include "kingcupdrift/api/json_fields.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kStatusNotFound = 404;
constexpr int kStatusPreconditionFailed = 412;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusInternal = 500;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusInsufficientStorage = 507;

std::string FormatMilliseconds(Duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

Duration GetMillisecondsField(const json& object, const char* key) {
  return milliseconds(GetIntegerField(object, key));
}

std::string FormatGroup(const std::vector<EngineAddress>& group) {
  std::string out;
  for (const EngineAddress& it : group) {
    out += out.empty() ? "" : ",";
    out += it.id.value() + "=" + ToString(it.endpoint);
  }
  return out;
}

HoldingKind ToHoldingKind(const std::string& name) {
  if (name == "stream") {
    return HoldingKind::kStream;
  }
  return name == "import" ? HoldingKind::kImport : HoldingKind::kReservation;
}

const char* GetRoleName(EngineRole role) {
  switch (role) {
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    case EngineRole::kGeneral:
      break;
  }
  return "general";
}

tl::unexpected<Error> MakeResponseError(const char* what) {
  return MakeError(ErrorCode::kProtocol, std::string("the engine's ") + what +
                                             " is not a JSON object");
}

std::string GetChoiceText(const json& choice) {
  const json& delta = GetObjectField(choice, "delta");
  return delta.empty() ? GetStringField(choice, "text")
                       : GetStringField(delta, "content");
}

}  // namespace

Result<EngineEvent> ReadEngineEvent(std::string_view data) {
  const json body = ParseJson(data);
  if (!body.is_object()) {
    return MakeResponseError("event");
  }
  EngineEvent event;
  if (body.contains("cached_tokens")) {
    event.cached_tokens = TokenCount(GetIntegerField(body, "cached_tokens"));
  }
  event.chunk.offset = GetUnsignedField(body, "offset");
  event.chunk.token_count =
      static_cast<std::uint32_t>(GetUnsignedField(body, "token_count"));
  const json& choices = GetArrayField(body, "choices");
  if (choices.empty()) {
    return event;
  }
  event.chunk.text = GetChoiceText(choices.front());
  const std::string reason = GetStringField(choices.front(), "finish_reason");
  if (!reason.empty()) {
    event.finish_reason =
        reason == "length" ? FinishReason::kLength : FinishReason::kStop;
    event.total_tokens = GetUnsignedField(body, "total_tokens");
  }
  return event;
}

HeaderList MakeStartHeaders(const EngineStreamRequest& request) {
  HeaderList headers = {
      {"Content-Type", "application/json"},
      {"Accept", "text/event-stream"},
      {"X-Request-Id", request.request.value()},
      {"X-Attempt-Id", request.attempt.value()},
      {"X-Priority", std::to_string(request.priority)},
      {"X-Time-Left-Ms", FormatMilliseconds(request.time_left)},
      {"X-Max-Output-Tokens",
       std::to_string(request.max_output_tokens.value())}};
  if (!request.reservation.empty()) {
    headers.emplace_back("X-Reservation-Id", request.reservation.value());
  }
  if (!request.group.empty()) {
    headers.emplace_back("X-Engine-Group", FormatGroup(request.group));
  }
  return headers;
}

HeaderList MakeImportHeaders(const ReservationRequest& holding) {
  return {{"Content-Type", "application/octet-stream"},
          {"X-Holding-Id", holding.id.value()},
          {"X-Owner", holding.owner.value()},
          {"X-Attempt-Id", holding.attempt.value()},
          {"X-Tokens", std::to_string(holding.tokens.value())},
          {"X-Time-To-Live-Ms", FormatMilliseconds(holding.time_to_live)}};
}

json MakeReservationBody(const ReservationRequest& request) {
  const auto time_to_live =
      std::chrono::duration_cast<milliseconds>(request.time_to_live);
  return {{"owner", request.owner.value()},
          {"attempt", request.attempt.value()},
          {"tokens", request.tokens.value()},
          {"time_to_live_ms", time_to_live.count()}};
}

json MakeOrderBody(const PlacementOrder& order) {
  return {{"model", order.model},
          {"adapter", order.adapter},
          {"version", order.version},
          {"role", GetRoleName(order.role)}};
}

json MakeExportBody(const std::vector<std::uint64_t>& digests) {
  json blocks = json::array();
  for (const std::uint64_t it : digests) {
    blocks.push_back(std::to_string(it));
  }
  json body = json::object();
  body["blocks"] = std::move(blocks);
  return body;
}

Result<EngineReport> ReadReport(const json& answer) {
  if (!answer.is_object()) {
    return MakeResponseError("load report");
  }
  EngineReport report;
  report.sequence = GetUnsignedField(answer, "sequence");
  report.age = GetMillisecondsField(answer, "age_ms");
  report.waiting_prefill_tokens =
      TokenCount(GetIntegerField(answer, "waiting_prefill_tokens"));
  report.running_streams =
      static_cast<std::uint32_t>(GetUnsignedField(answer, "running_streams"));
  report.waiting_requests =
      static_cast<std::uint32_t>(GetUnsignedField(answer, "waiting_requests"));
  report.free_memory = TokenCount(GetIntegerField(answer, "free_memory"));
  report.total_memory = TokenCount(GetIntegerField(answer, "total_memory"));
  report.prefill_rate = GetDoubleField(answer, "prefill_rate");
  report.decode_rate = GetDoubleField(answer, "decode_rate");
  for (const json& it : GetArrayField(answer, "counted_attempts")) {
    if (it.is_string()) {
      report.counted_attempts.emplace_back(it.get<std::string>());
    }
  }
  return report;
}

Result<std::vector<EngineHolding>> ReadHoldings(const json& answer) {
  if (!answer.is_object()) {
    return MakeResponseError("list of holdings");
  }
  std::vector<EngineHolding> holdings;
  for (const json& it : GetArrayField(answer, "holdings")) {
    EngineHolding holding;
    holding.kind = ToHoldingKind(GetStringField(it, "kind"));
    holding.id = GetStringField(it, "id");
    holding.owner = InstanceId(GetStringField(it, "owner"));
    holding.attempt = AttemptId(GetStringField(it, "attempt"));
    holding.tokens = TokenCount(GetIntegerField(it, "tokens"));
    holding.time_left = GetMillisecondsField(it, "time_left_ms");
    holdings.push_back(std::move(holding));
  }
  return holdings;
}

Result<CacheEventBatch> ReadCacheEvents(const json& answer) {
  if (!answer.is_object()) {
    return MakeResponseError("list of cache events");
  }
  CacheEventBatch batch;
  for (const json& it : GetArrayField(answer, "events")) {
    batch.events.push_back({GetUnsignedField(it, "sequence"),
                            GetBoolField(it, "cached"),
                            GetUnsignedField(it, "block")});
  }
  batch.last_sequence = GetUnsignedField(answer, "last_sequence");
  batch.has_gap = GetBoolField(answer, "gap");
  return batch;
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

Error ToEngineStatusError(int status) {
  const std::string detail =
      "the engine answered with status " + std::to_string(status);
  switch (status) {
    case kStatusNotFound:
      return {ErrorCode::kNotFound, detail};
    case kStatusPreconditionFailed:
      return {ErrorCode::kFenced, detail};
    case kStatusTooManyRequests:
    case kStatusUnavailable:
    case kStatusInsufficientStorage:
      return {ErrorCode::kOverloaded, detail};
    default:
      break;
  }
  const bool is_refusal = status < kStatusInternal;
  return {is_refusal ? ErrorCode::kRefused : ErrorCode::kInternal, detail};
}

Error ToEngineStreamError(Error error) {
  if (error.code == ErrorCode::kUnknownEffect) {
    error.code = ErrorCode::kConnectionLost;
  }
  return error;
}

std::string EncodePathSegment(const std::string& text) {
  char* const encoded =
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  std::string out(encoded);
  std::free(encoded);
  return out;
}

}  // namespace kingcupdrift
