#ifndef KINGCUPDRIFT_API_REQUEST_HEADERS_H_
#define KINGCUPDRIFT_API_REQUEST_HEADERS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

inline constexpr std::string_view kRequestTimeoutHeader = "Request-Timeout";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kLastEventIdHeader = "Last-Event-ID";
inline constexpr std::string_view kResumeTokenHeader = "Resume-Token";
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
inline constexpr std::size_t kMaxWorkspaceTokenBytes = 512;
/// Longer time limits are cut to this.
inline constexpr Duration kLongestTimeLimit = std::chrono::hours(24);

/// Value of the first header `name`, in any case; empty without one.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

/// Reads "Authorization", "Request-Timeout" (decimal seconds, above zero) and
/// "Idempotency-Key" (printable ASCII). kInvalidArgument names the bad header.
Result<CallerContext> ParseCallerContext(const HeaderList& headers);

/// Reads "Resume-Token" and "Last-Event-ID" as well. Without the latter, the
/// stream is replayed from its start.
Result<ResumeCall> ParseResumeCall(const HeaderList& headers);

/// The token of "Authorization: Bearer TOKEN"; empty without one.
std::string_view GetBearerToken(const HeaderList& headers);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_REQUEST_HEADERS_H_
