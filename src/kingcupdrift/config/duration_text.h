#ifndef KINGCUPDRIFT_CONFIG_DURATION_TEXT_H_
#define KINGCUPDRIFT_CONFIG_DURATION_TEXT_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// What `ParseDuration` accepts, for messages.
inline constexpr char kDurationFormat[] =
    "a whole number with a unit: us, ms, s, m, h or d";

/// Parses "250us", "500ms", "30s", "5m", "24h" or "7d"; no sign, no fraction.
/// Errors: kInvalidArgument.
Result<Duration> ParseDuration(std::string_view text);

/// The shortest text that `ParseDuration` reads back as `duration`, which must
/// not be negative.
std::string FormatDuration(Duration duration);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_DURATION_TEXT_H_
