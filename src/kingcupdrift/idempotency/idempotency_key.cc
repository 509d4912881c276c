#include "kingcupdrift/idempotency/idempotency_key.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>

namespace kingcupdrift {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionPosition = 14;
constexpr std::size_t kUuidVariantPosition = 19;
// Most characters after "SECONDS-"; a key of any form may have 211 in all.
constexpr std::size_t kMaxTextLength = 200;
constexpr std::size_t kDigestLength = 32;
// Ten digits hold the seconds from 2001 to 2286. More digits would be another
// unit, such as milliseconds; such keys are opaque.
constexpr std::size_t kSecondsLength = 10;

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F');
}

bool IsUuidVersion7(std::string_view text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (std::size_t n = 0; n < text.size(); ++n) {
    const bool is_hyphen = n == 8 || n == 13 || n == 18 || n == 23;
    if (is_hyphen ? text[n] != '-' : !IsHexDigit(text[n])) {
      return false;
    }
  }
  constexpr std::string_view kVariants = "89abAB";
  return text[kUuidVersionPosition] == '7' &&
         kVariants.find(text[kUuidVariantPosition]) != std::string_view::npos;
}

WallTime CreationTimeOfUuid(std::string_view text) {
  const std::string digits =
      std::string(text.substr(0, 8)) + std::string(text.substr(9, 4));
  std::int64_t milliseconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds,
                  16);
  return WallTime(std::chrono::milliseconds(milliseconds));
}

bool IsPrintable(char c) {
  return c > ' ' && c <= '~';
}

std::optional<WallTime> CreationTimeOfPrefix(std::string_view text) {
  if (text.size() < kSecondsLength + 2 || text[kSecondsLength] != '-') {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* end = text.data() + kSecondsLength;
  const auto [stop, ec] = std::from_chars(text.data(), end, seconds);
  if (ec != std::errc() || stop != end || seconds < 0) {
    return std::nullopt;
  }
  return WallTime(std::chrono::seconds(seconds));
}

std::string Lowered(std::string_view text) {
  std::string lowered(text);
  std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](char c) {
    return c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lowered;
}

std::string DigestOf(const WorkspaceId& workspace,
                     const ServiceId& service,
                     std::string_view text) {
  std::string scoped = workspace.value();
  scoped += '\0';
  scoped += service.value();
  scoped += '\0';
  scoped += text;
  return ComputeSha256Hex(scoped).substr(0, kDigestLength);
}

}  // namespace

Result<IdempotencyKey> ParseIdempotencyKey(const WorkspaceId& workspace,
                                           const ServiceId& service,
                                           std::string_view text) {
  if (IsUuidVersion7(text)) {
    return IdempotencyKey{DigestOf(workspace, service, Lowered(text)),
                          CreationTimeOfUuid(text)};
  }
  const bool is_sound = !text.empty() &&
                        text.size() <= kMaxTextLength + kSecondsLength + 1 &&
                        std::all_of(text.begin(), text.end(), IsPrintable);
  if (!is_sound) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "an idempotency key is 1 to 211 printable characters "
                     "without spaces");
  }
  return IdempotencyKey{DigestOf(workspace, service, text),
                        CreationTimeOfPrefix(text)};
}

}  // namespace kingcupdrift
