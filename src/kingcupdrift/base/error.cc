#include "kingcupdrift/base/error.h"

#include <utility>

namespace kingcupdrift {

std::string_view GetErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknownEffect:
      return "unknown_effect";
    case ErrorCode::kRefused:
      return "refused";
    case ErrorCode::kFenced:
      return "fenced";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kConnectionLost:
      return "connection_lost";
    case ErrorCode::kProtocol:
      return "protocol";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

tl::unexpected<Error> MakeError(ErrorCode code, std::string detail) {
  return tl::make_unexpected(Error{code, std::move(detail)});
}

}  // namespace kingcupdrift
