#ifndef KINGCUPDRIFT_BASE_ERROR_H_
#define KINGCUPDRIFT_BASE_ERROR_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace kingcupdrift {

/// Kinds of failure. Code decides by the kind, never by the text.
enum class ErrorCode {
  /// The input is invalid.
  kInvalidArgument,
  /// The named item does not exist, or the store no longer has the history that
  /// was asked for.
  kNotFound,
  /// A compare-and-swap found another version; nothing was written.
  kConflict,
  /// Nothing was sent, or the store answered 429 or 503. Nothing has taken
  /// effect, so the call may be repeated.
  kUnavailable,
  /// The request was sent and its effect is not known: it may have taken effect
  /// or may still do so.
  kUnknownEffect,
  /// The other side refused, with no effect. Also a local file that is too long
  /// or cannot be written.
  kRefused,
  /// The other side refused a fencing number older than one it has seen.
  kFenced,
  /// A limit is reached or a queue is full. Also, on the users' platform, any
  /// unexpected HTTP status from an engine.
  kOverloaded,
  /// The time limit has passed.
  kDeadlineExceeded,
  /// An established connection was lost or timed out. Also, for a read, an
  /// unexpected HTTP status from the store.
  kConnectionLost,
  /// The other side violated the protocol.
  kProtocol,
  /// The credentials are missing or wrong.
  kUnauthorized,
  /// An error inside this program.
  kInternal,
};

/// Name of an error code, as used in logs and metrics.
std::string_view GetErrorCodeName(ErrorCode code);

/// A failure of a known kind. `detail` is for people, never for decisions: it
/// goes to logs and operators and, for an invalid request, to the caller.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string detail;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Returns an error that converts to any `Result`.
tl::unexpected<Error> MakeError(ErrorCode code, std::string detail);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_ERROR_H_
