#ifndef KINGCUPDRIFT_NET_INTERNAL_ENGINE_PROTOCOL_H_
#define KINGCUPDRIFT_NET_INTERNAL_ENGINE_PROTOCOL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

/// @file
/// Reads and writes the engines' protocol, described in docs/API.md.

/// HTTP status 200. `IsSuccess` accepts 200 to 299.
inline constexpr int kStatusOk = 200;

/// One event of a stream.
struct EngineEvent {
  /// Prompt tokens found in the engine's prefix cache; in the first event only.
  std::optional<TokenCount> cached_tokens;
  EngineChunk chunk;
  std::optional<FinishReason> finish_reason;
  /// Output tokens of the whole answer, those of earlier attempts
  /// included; set together with `finish_reason`.
  std::uint64_t total_tokens = 0;
};

/// Returns kProtocol if `data` is not a JSON object. Absent or mistyped members
/// become empty or zero; an unknown finish reason becomes kStop.
Result<EngineEvent> ReadEngineEvent(std::string_view data);

/// Headers of a request that starts a stream.
HeaderList MakeStartHeaders(const EngineStreamRequest& request);
HeaderList MakeImportHeaders(const ReservationRequest& holding);
nlohmann::json MakeReservationBody(const ReservationRequest& request);
nlohmann::json MakeOrderBody(const PlacementOrder& order);
nlohmann::json MakeExportBody(const std::vector<std::uint64_t>& digests);

/// These return kProtocol if `answer` is not a JSON object. Absent or mistyped
/// members become empty or zero; an unknown holding kind becomes kReservation.
Result<EngineReport> ReadReport(const nlohmann::json& answer);
Result<std::vector<EngineHolding>> ReadHoldings(const nlohmann::json& answer);
Result<CacheEventBatch> ReadCacheEvents(const nlohmann::json& answer);

bool IsSuccess(int status);
/// Maps an HTTP status other than success to an error.
Error ToEngineStatusError(int status);
/// Maps the error of an interrupted HTTP call to the error of its stream:
/// kUnknownEffect becomes kConnectionLost.
Error ToEngineStreamError(Error error);

/// Percent-encodes everything in `text` but letters, digits and "-._~".
std::string EncodePathSegment(const std::string& text);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_ENGINE_PROTOCOL_H_
