#include "kingcupdrift/api/request_headers.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace kingcupdrift {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxNumberBytes = 32;

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= '!' && c <= '~'; });
}

bool IsDecimal(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || c == '.'; });
}

Result<Duration> ParseTimeLimit(std::string_view text) {
  double seconds = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, seconds);
  const bool is_number = text.size() <= kMaxNumberBytes && IsDecimal(text) &&
                         ec == std::errc() && stop == end;
  if (!is_number || !std::isfinite(seconds) || seconds <= 0) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "Request-Timeout must be a decimal number of seconds "
                     "above zero");
  }
  using Seconds = std::chrono::duration<double>;
  const Seconds limit = std::min(Seconds(seconds), Seconds(kLongestTimeLimit));
  const Duration rounded = std::chrono::duration_cast<Duration>(limit);
  return std::max(rounded, Duration(1));
}

}  // namespace

std::string_view FindHeader(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoringCase(key, name)) {
      return value;
    }
  }
  return {};
}

std::string_view GetBearerToken(const HeaderList& headers) {
  const std::string_view value = FindHeader(headers, "Authorization");
  if (!EqualsIgnoringCase(value.substr(0, kBearerPrefix.size()),
                          kBearerPrefix)) {
    return {};
  }
  return value.substr(kBearerPrefix.size());
}

Result<CallerContext> ParseCallerContext(const HeaderList& headers) {
  CallerContext context;
  const std::string_view token = GetBearerToken(headers);
  if (token.size() > kMaxWorkspaceTokenBytes || !IsPrintable(token)) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        "Authorization must carry a bearer token of printable ASCII "
        "without spaces, of at most 512 bytes");
  }
  context.workspace_token = token;
  const std::string_view limit = FindHeader(headers, kRequestTimeoutHeader);
  if (!limit.empty()) {
    const Result<Duration> parsed = ParseTimeLimit(limit);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    context.time_limit = *parsed;
  }
  const std::string_view key = FindHeader(headers, kIdempotencyKeyHeader);
  if (key.size() > kMaxIdempotencyKeyBytes || !IsPrintable(key)) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "Idempotency-Key must be printable ASCII without spaces, "
                     "of at most 255 bytes");
  }
  context.idempotency_key = key;
  return context;
}

Result<ResumeCall> ParseResumeCall(const HeaderList& headers) {
  Result<CallerContext> context = ParseCallerContext(headers);
  if (!context) {
    return tl::unexpected(context.error());
  }
  ResumeCall call;
  call.context = *std::move(context);
  call.resume_token = FindHeader(headers, kResumeTokenHeader);
  if (call.resume_token.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "Resume-Token is missing");
  }
  const std::string_view last = FindHeader(headers, kLastEventIdHeader);
  if (last.empty()) {
    return call;
  }
  const char* const end = last.data() + last.size();
  const auto [stop, ec] =
      std::from_chars(last.data(), end, call.received_tokens);
  if (ec != std::errc() || stop != end) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "Last-Event-ID must be a whole number of tokens");
  }
  return call;
}

}  // namespace kingcupdrift
