#include "kingcupdrift/base/outcome.h"

namespace kingcupdrift {

std::string_view GetOutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace kingcupdrift
