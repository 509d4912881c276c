#include "kingcupdrift/config/duration_text.h"

#include <array>
#include <charconv>
#include <cstdint>

namespace kingcupdrift {
namespace {

struct DurationUnit {
  std::string_view name;
  std::int64_t microseconds;
};

/// Longest unit first.
constexpr std::array<DurationUnit, 6> kUnits = {{
    {"d", 86'400'000'000},
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

constexpr std::int64_t kMaxMicroseconds = INT64_MAX / 4;

}  // namespace

Result<Duration> ParseDuration(std::string_view text) {
  std::int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || n < 0) {
    return MakeError(ErrorCode::kInvalidArgument, kDurationFormat);
  }
  const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
  for (const DurationUnit& it : kUnits) {
    if (it.name == unit && n <= kMaxMicroseconds / it.microseconds) {
      return Duration(n * it.microseconds);
    }
  }
  return MakeError(ErrorCode::kInvalidArgument, kDurationFormat);
}

std::string FormatDuration(Duration duration) {
  if (duration.count() == 0) {
    return "0s";
  }
  for (const DurationUnit& it : kUnits) {
    if (duration.count() % it.microseconds == 0) {
      return fmt::format("{}{}", duration.count() / it.microseconds, it.name);
    }
  }
  return fmt::format("{}us", duration.count());
}

}  // namespace kingcupdrift
