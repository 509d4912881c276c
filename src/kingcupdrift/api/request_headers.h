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
/// Carries the request ID in requests to engines.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
/// Limits the bearer token of "Authorization".
inline constexpr std::size_t kMaxWorkspaceTokenBytes = 512;
/// A longer "Request-Timeout" is reduced to this.
inline constexpr Duration kLongestTimeLimit = std::chrono::hours(24);

/// Value of the first header named `name`, ignoring upper and lower case; empty
/// if there is none.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

/// Reads "Authorization", "Request-Timeout" (decimal seconds, above zero) and
/// "Idempotency-Key" (printable ASCII without spaces). All three are optional;
/// without a bearer token the workspace token is empty. Errors:
/// kInvalidArgument, naming the invalid header.
Result<CallerContext> ParseCallerContext(const HeaderList& headers);

/// Like `ParseCallerContext`; also reads "Resume-Token", which is required, and
/// "Last-Event-ID". Without the latter, the stream is replayed from its start.
/// Errors: kInvalidArgument.
Result<ResumeCall> ParseResumeCall(const HeaderList& headers);

/// The token of "Authorization: Bearer TOKEN"; empty if there is none.
std::string_view GetBearerToken(const HeaderList& headers);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_REQUEST_HEADERS_H_
