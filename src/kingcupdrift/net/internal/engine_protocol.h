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

/// The engines' protocol, as docs/API.md describes it.
inline constexpr int kStatusOk = 200;

/// One event of an answer.
struct EngineEvent {
  /// In the first event only.
  std::optional<TokenCount> cached_tokens;
  EngineChunk chunk;
  std::optional<FinishReason> finish_reason;
  std::uint64_t total_tokens = 0;
};

/// kProtocol if `data` is not a well-formed event.
Result<EngineEvent> ReadEngineEvent(std::string_view data);

/// Headers of a request that starts work.
HeaderList MakeStartHeaders(const EngineStreamRequest& request);
HeaderList MakeImportHeaders(const ReservationRequest& holding);
nlohmann::json MakeReservationBody(const ReservationRequest& request);
nlohmann::json MakeOrderBody(const PlacementOrder& order);
nlohmann::json MakeExportBody(const std::vector<std::uint64_t>& digests);

Result<EngineReport> ReadReport(const nlohmann::json& answer);
Result<std::vector<EngineHolding>> ReadHoldings(const nlohmann::json& answer);
Result<CacheEventBatch> ReadCacheEvents(const nlohmann::json& answer);

bool IsSuccess(int status);
/// Error of a status that is no success.
Error EngineStatusError(int status);
/// Error of a call that got no whole answer.
Error EngineTransportError(Error error);

/// `text` with everything but letters, digits and "-._~" percent-encoded.
std::string EncodePathSegment(const std::string& text);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_ENGINE_PROTOCOL_H_
