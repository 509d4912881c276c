#ifndef KINGCUPDRIFT_BASE_ERROR_H_
#define KINGCUPDRIFT_BASE_ERROR_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace kingcupdrift {

/// Kinds of failure. Callers decide by kind and never by text.
enum class ErrorCode {
  /// The input breaks a stated rule.
  kInvalidArgument,
  /// The named thing does not exist.
  kNotFound,
  /// A compare-and-swap found another version; nothing was written.
  kConflict,
  /// Nothing was sent, so nothing can have taken effect.
  kUnavailable,
  /// The request was sent and its effect is not known; it may come later.
  kUnknownEffect,
  /// The other side refused, with no effect.
  kRefused,
  /// The other side refused a fencing number older than one it has seen.
  kFenced,
  /// A limit or a queue is full.
  kOverloaded,
  /// The time limit passed.
  kDeadlineExceeded,
  /// An established connection broke or went silent.
  kConnectionLost,
  /// The other side broke the protocol.
  kProtocol,
  /// The credentials are missing or wrong.
  kUnauthorized,
  /// A fault of this program.
  kInternal,
};

/// Name of an error code, as used in logs and metrics.
std::string_view GetErrorCodeName(ErrorCode code);

/// A typed failure. `detail` is for people only.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string detail;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Builds the unexpected side of a `Result`.
tl::unexpected<Error> MakeError(ErrorCode code, std::string detail);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_ERROR_H_
