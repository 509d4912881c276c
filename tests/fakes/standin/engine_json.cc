#include "tests/fakes/standin/engine_json.h"

#include <charconv>
#include <chrono>
#include <utility>

#include "tests/fakes/prompt_reader.h"
#include "tests/fakes/standin/etcd_json.h"

namespace kingcupdrift::fakes {
namespace {

constexpr int kHexBase = 16;

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::int64_t ToInteger(std::string_view text) {
  std::int64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

const char* KindName(HoldingKind kind) {
  switch (kind) {
    case HoldingKind::kReservation:
      return "reservation";
    case HoldingKind::kStream:
      return "stream";
    case HoldingKind::kImport:
      return "import";
  }
  return "";
}

EngineRole ReadRole(const std::string& name) {
  if (name == "prefill") {
    return EngineRole::kPrefill;
  }
  return name == "decode" ? EngineRole::kDecode : EngineRole::kGeneral;
}

Json ChoiceJson(const std::string& text, CompletionKind kind) {
  if (kind == CompletionKind::kChat) {
    return {{"index", 0}, {"delta", {{"content", text}}}};
  }
  return {{"index", 0}, {"text", text}};
}

}  // namespace

Json ReportJson(const EngineReport& report) {
  Json counted = Json::array();
  for (const AttemptId& attempt : report.counted_attempts) {
    counted.push_back(attempt.value());
  }
  return {{"sequence", report.sequence},
          {"age_ms", ToMillis(report.age)},
          {"waiting_prefill_tokens", report.waiting_prefill_tokens.value()},
          {"running_streams", report.running_streams},
          {"waiting_requests", report.waiting_requests},
          {"free_memory", report.free_memory.value()},
          {"total_memory", report.total_memory.value()},
          {"prefill_rate", report.prefill_rate},
          {"decode_rate", report.decode_rate},
          {"counted_attempts", std::move(counted)}};
}

Json HoldingsJson(const std::vector<EngineHolding>& holdings) {
  Json rows = Json::array();
  for (const EngineHolding& it : holdings) {
    rows.push_back({{"kind", KindName(it.kind)},
                    {"id", it.id},
                    {"owner", it.owner.value()},
                    {"attempt", it.attempt.value()},
                    {"tokens", it.tokens.value()},
                    {"time_left_ms", ToMillis(it.time_left)}});
  }
  return {{"holdings", std::move(rows)}};
}

Json CacheEventsJson(const CacheEventBatch& batch) {
  Json rows = Json::array();
  for (const CacheEvent& it : batch.events) {
    rows.push_back({{"sequence", it.sequence},
                    {"cached", it.is_cached},
                    {"block", std::to_string(it.block_digest)}});
  }
  return {{"events", std::move(rows)},
          {"last_sequence", batch.last_sequence},
          {"gap", batch.has_gap}};
}

Json ChunkJson(const EngineChunk& chunk, CompletionKind kind) {
  return {{"choices", Json::array({ChoiceJson(chunk.text, kind)})},
          {"offset", chunk.offset},
          {"token_count", chunk.token_count}};
}

Json FinishJson(FinishReason reason,
                std::uint64_t total_tokens,
                CompletionKind kind) {
  Json choice = ChoiceJson("", kind);
  choice["finish_reason"] = GetFinishReasonName(reason);
  return {{"choices", Json::array({std::move(choice)})},
          {"offset", total_tokens},
          {"token_count", 0},
          {"total_tokens", total_tokens}};
}

TokenCount ReservedTokens(const Json& holdings, const AttemptId& attempt) {
  TokenCount sum;
  if (!holdings.is_object()) {
    return sum;
  }
  for (const Json& it : holdings.value("holdings", Json::array())) {
    if (it.value("kind", "") == KindName(HoldingKind::kReservation) &&
        it.value("attempt", "") == attempt.value()) {
      sum += TokenCount(ReadInteger(it, "tokens"));
    }
  }
  return sum;
}

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kOverloaded:
      return 507;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kFenced:
      return 412;
    case ErrorCode::kInvalidArgument:
      return 400;
    default:
      return 409;
  }
}

std::int64_t HeaderInteger(const HttpExchange& exchange,
                           std::string_view name) {
  return ToInteger(exchange.GetHeader(name));
}

Result<EngineModelRequest> ReadStreamRequest(const HttpExchange& exchange) {
  Result<ParsedPrompt> prompt = ParsePrompt(*exchange.body());
  if (!prompt) {
    return tl::unexpected(prompt.error());
  }
  EngineModelRequest work;
  work.request = RequestId(std::string(exchange.GetHeader("X-Request-Id")));
  work.attempt = AttemptId(std::string(exchange.GetHeader("X-Attempt-Id")));
  work.owner = InstanceId(std::string(exchange.GetHeader("X-Owner")));
  work.prompt = std::move(prompt->digests);
  work.prompt_tokens = prompt->tokens;
  work.max_output_tokens =
      TokenCount(HeaderInteger(exchange, "X-Max-Output-Tokens"));
  work.priority = static_cast<int>(HeaderInteger(exchange, "X-Priority"));
  work.time_left =
      std::chrono::milliseconds(HeaderInteger(exchange, "X-Time-Left-Ms"));
  work.reservation =
      ReservationId(std::string(exchange.GetHeader("X-Reservation-Id")));
  const Json body =
      Json::parse(*exchange.body(), nullptr, /*allow_exceptions=*/false);
  const Json continuation = body.value("continuation", Json::object());
  work.emitted_tokens =
      static_cast<std::uint64_t>(ReadInteger(continuation, "offset"));
  return work;
}

std::vector<EngineAddress> ReadGroup(std::string_view text) {
  std::vector<EngineAddress> group;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) {
      continue;
    }
    const Result<Endpoint> endpoint = ParseEndpoint(item.substr(equals + 1));
    if (endpoint) {
      group.push_back(
          {EngineId(std::string(item.substr(0, equals))), *endpoint});
    }
  }
  return group;
}

ReservationRequest ReadReservation(const std::string& id, const Json& body) {
  ReservationRequest request;
  request.id = ReservationId(id);
  request.owner = InstanceId(body.value("owner", ""));
  request.attempt = AttemptId(body.value("attempt", ""));
  request.tokens = TokenCount(ReadInteger(body, "tokens"));
  request.time_to_live =
      std::chrono::milliseconds(ReadInteger(body, "time_to_live_ms"));
  return request;
}

ReservationRequest ReadImport(const HttpExchange& exchange) {
  ReservationRequest request;
  request.id = ReservationId(std::string(exchange.GetHeader("X-Holding-Id")));
  request.owner = InstanceId(std::string(exchange.GetHeader("X-Owner")));
  request.attempt = AttemptId(std::string(exchange.GetHeader("X-Attempt-Id")));
  request.tokens = TokenCount(HeaderInteger(exchange, "X-Tokens"));
  request.time_to_live =
      std::chrono::milliseconds(HeaderInteger(exchange, "X-Time-To-Live-Ms"));
  return request;
}

PlacementOrder ReadOrder(const HttpExchange& exchange, const Json& body) {
  PlacementOrder order;
  order.fencing_number =
      FencingNumber(HeaderInteger(exchange, "X-Fencing-Number"));
  order.model = body.value("model", "");
  order.adapter = body.value("adapter", "");
  order.version = body.value("version", "");
  order.role = ReadRole(body.value("role", "general"));
  return order;
}

std::string DecodePathSegment(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    unsigned value = 0;
    if (text.front() == '%' && text.size() >= 3 &&
        std::from_chars(text.data() + 1, text.data() + 3, value, kHexBase).ec ==
            std::errc()) {
      decoded.push_back(static_cast<char>(value));
      text.remove_prefix(3);
      continue;
    }
    decoded.push_back(text.front());
    text.remove_prefix(1);
  }
  return decoded;
}

}  // namespace kingcupdrift::fakes
