#ifndef TESTS_FAKES_STANDIN_ENGINE_JSON_H_
#define TESTS_FAKES_STANDIN_ENGINE_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/net.h"
#include "tests/fakes/engine_model.h"

namespace kingcupdrift::fakes {

using Json = nlohmann::json;

// The engine protocol of docs/API.md, on the engine's side.

Json ReportJson(const EngineReport& report);
Json HoldingsJson(const std::vector<EngineHolding>& holdings);
Json CacheEventsJson(const CacheEventBatch& batch);
/// Data of one event of a stream. FinishJson is the last JSON event;
/// "[DONE]" follows it.
Json ChunkJson(const EngineChunk& chunk, CompletionKind kind);
Json FinishJson(FinishReason reason,
                std::uint64_t total_tokens,
                CompletionKind kind);

/// Tokens that a holdings answer lists as reserved for an attempt.
TokenCount ReservedTokens(const Json& holdings, const AttemptId& attempt);

/// HTTP status of an error.
int StatusOf(ErrorCode code);

/// Reads the headers and the body of a request that starts a stream. Error:
/// kInvalidArgument.
Result<EngineModelRequest> ReadStreamRequest(const HttpExchange& exchange);
/// Parses "ID=HOST:PORT,..."; malformed items are skipped.
std::vector<EngineAddress> ReadGroup(std::string_view text);
ReservationRequest ReadReservation(const std::string& id, const Json& body);
ReservationRequest ReadImport(const HttpExchange& exchange);
PlacementOrder ReadOrder(const HttpExchange& exchange, const Json& body);

/// Reads a decimal header; 0 if it is absent.
std::int64_t HeaderInteger(const HttpExchange& exchange, std::string_view name);
/// Decodes percent-encoding.
std::string DecodePathSegment(std::string_view text);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_ENGINE_JSON_H_
