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
/// A time-stamped key carries its creation time. So the journal can forget old
/// keys and still refuse them: a key past its window is never taken for a new
/// one. An opaque key is remembered for `JournalOptions::retention` plus
/// `clock_skew_margin` after `run_until` of the attempt that wrote its intent;
/// repeated calls answered from the journal do not extend this. After that the
/// key counts as new.
struct IdempotencyKey {
  /// Digest of workspace, service and text, with UUIDs of version 7 in lower
  /// case; 32 hexadecimal digits.
  std::string digest;
  /// Absent for an opaque key.
  std::optional<WallTime> created_at;

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

/// Parses the text of an `Idempotency-Key` header: 1 to 211 printable ASCII
/// characters without spaces. Two forms are time-stamped: a UUID of version 7
/// (RFC 9562), and "SECONDS-TEXT", where SECONDS is the creation time in
/// seconds since the Unix epoch, ten digits long. Every other such text is
/// opaque. Returns kInvalidArgument for texts with other characters or another
/// length; the request must then be refused as not run.
Result<IdempotencyKey> ParseIdempotencyKey(const WorkspaceId& workspace,
                                           const ServiceId& service,
                                           std::string_view text);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
