#ifndef KINGCUPDRIFT_CONFIG_DURATION_TEXT_H_
#define KINGCUPDRIFT_CONFIG_DURATION_TEXT_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Describes the format that `ParseDuration` accepts, for messages.
inline constexpr char kDurationFormat[] =
    "a whole number with a unit: us, ms, s, m, h or d";

/// Parses "250us", "500ms", "30s", "5m", "24h" or "7d". Errors:
/// kInvalidArgument for other formats, fractions, a plus sign, negative values,
/// and values above INT64_MAX / 4 microseconds. "-0s" reads as zero.
Result<Duration> ParseDuration(std::string_view text);

/// Formats `duration`, which must not be negative, with the largest unit that
/// divides it, so that `ParseDuration` reads back the same value.
std::string FormatDuration(Duration duration);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_DURATION_TEXT_H_
