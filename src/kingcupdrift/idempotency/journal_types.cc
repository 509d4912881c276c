#include "kingcupdrift/idempotency/journal_types.h"

namespace kingcupdrift {

std::string_view BeginStatusName(BeginStatus status) {
  switch (status) {
    case BeginStatus::kStarted:
      return "started";
    case BeginStatus::kAlreadyCompleted:
      return "already_completed";
    case BeginStatus::kInProgress:
      return "in_progress";
    case BeginStatus::kUnknownOutcome:
      return "unknown_outcome";
    case BeginStatus::kKeyReused:
      return "key_reused";
    case BeginStatus::kExpired:
      return "expired";
    case BeginStatus::kKeyFromFuture:
      return "key_from_future";
    case BeginStatus::kOverflow:
      return "overflow";
    case BeginStatus::kStoreUnavailable:
      return "store_unavailable";
    case BeginStatus::kUnresolved:
      return "unresolved";
  }
  return "unresolved";
}

Outcome BeginOutcome(BeginStatus status) {
  switch (status) {
    case BeginStatus::kAlreadyCompleted:
      return Outcome::kCompleted;
    case BeginStatus::kKeyReused:
    case BeginStatus::kKeyFromFuture:
    case BeginStatus::kOverflow:
    case BeginStatus::kStoreUnavailable:
      return Outcome::kNotRun;
    case BeginStatus::kStarted:
    case BeginStatus::kInProgress:
    case BeginStatus::kUnknownOutcome:
    case BeginStatus::kExpired:
    case BeginStatus::kUnresolved:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

}  // namespace kingcupdrift
