#include "kingcupdrift/interfaces/forward_sink.h"

namespace kingcupdrift {

std::string_view GetRefusalName(ForwardRefusalType type) {
  switch (type) {
    case ForwardRefusalType::kNotReady:
      return "not_ready";
    case ForwardRefusalType::kLeaving:
      return "leaving";
    case ForwardRefusalType::kBadRequest:
      return "bad_request";
    case ForwardRefusalType::kUnknownKey:
      return "unknown_key";
    case ForwardRefusalType::kNoRoute:
      return "no_route";
    case ForwardRefusalType::kOverloaded:
      return "overloaded";
    case ForwardRefusalType::kNoTarget:
      return "no_target";
    case ForwardRefusalType::kTimeLimitBeforeSend:
      return "time_limit_not_sent";
    case ForwardRefusalType::kTimeLimitAfterSend:
      return "time_limit_sent";
    case ForwardRefusalType::kTargetFailed:
      return "target_failed";
    case ForwardRefusalType::kTargetDeclined:
      return "target_declined";
    case ForwardRefusalType::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

bool GuaranteesNotRun(ForwardRefusalType type) {
  switch (type) {
    case ForwardRefusalType::kNotReady:
    case ForwardRefusalType::kLeaving:
    case ForwardRefusalType::kOverloaded:
    case ForwardRefusalType::kNoTarget:
    case ForwardRefusalType::kTimeLimitBeforeSend:
    case ForwardRefusalType::kTargetDeclined:
    case ForwardRefusalType::kQuarantined:
      return true;
    case ForwardRefusalType::kBadRequest:
    case ForwardRefusalType::kUnknownKey:
    case ForwardRefusalType::kNoRoute:
    case ForwardRefusalType::kTimeLimitAfterSend:
    case ForwardRefusalType::kTargetFailed:
      return false;
  }
  return false;
}

}  // namespace kingcupdrift
