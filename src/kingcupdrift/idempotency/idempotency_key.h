#ifndef KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
#define KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_KEY_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A caller's idempotency key, scoped to its workspace and service.
///
/// A time-stamped key carries its creation time. That lets the journal forget
/// old keys and still refuse them: one past its window is never mistaken for a
/// new one. An opaque key is remembered for the journal's retention after its
/// last use, and after that counts as new.
struct IdempotencyKey {
  /// Digest of workspace, service and text; 32 hexadecimal digits.
  std::string digest;
  /// Absent for an opaque key.
  std::optional<WallTime> created_at;

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

/// Parses the text of an `Idempotency-Key` header, 1 to 211 printable
/// characters. A UUID of version 7 (RFC 9562) and "SECONDS-TEXT", where SECONDS
/// is the creation time in ten digits of seconds since the Unix epoch, are
/// time-stamped; every other text is opaque. kInvalidArgument otherwise, and
/// the request was not run.
Result<IdempotencyKey> ParseIdempotencyKey(const WorkspaceId& workspace,
                                           const ServiceId& service,
                                           std::string_view text);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
