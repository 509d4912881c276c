#ifndef KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
#define KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_KEY_H_

#include <compare>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A caller's idempotency key, scoped to its workspace and service.
///
/// The key carries its creation time. That lets the journal forget old keys and
/// still refuse them: a key past its window is never mistaken for a new one.
struct IdempotencyKey {
  /// Digest of workspace, service and text; 32 hexadecimal digits.
  std::string digest;
  WallTime created_at{};

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

/// Parses the text of an `Idempotency-Key` header. Accepted are a UUID of
/// version 7 (RFC 9562) and "SECONDS-TEXT", where SECONDS is the creation time
/// in seconds since the Unix epoch and TEXT is 1 to 200 printable characters.
/// Anything else is kInvalidArgument, and the request was not run.
Result<IdempotencyKey> ParseIdempotencyKey(const WorkspaceId& workspace,
                                           const ServiceId& service,
                                           std::string_view text);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
