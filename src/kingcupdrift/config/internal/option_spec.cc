#include "kingcupdrift/config/internal/option_spec.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::internal {
namespace {

constexpr std::size_t kMaxIdentifier = 64;
constexpr double kMaxTextLength = 128;
constexpr double kMaxListLength = 1000;
constexpr double kSecondsPerDay = 86'400;
constexpr std::size_t kDigestDigits = 64;
constexpr std::array<std::string_view, 4> kReservedPrefixes = {
    "/v1", "/admin", "/metrics", "/healthz"};
constexpr std::array<std::string_view, 6> kMethods = {"GET", "HEAD",  "POST",
                                                      "PUT", "PATCH", "DELETE"};

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestDigits &&
         std::all_of(text.begin(), text.end(), IsHexDigit);
}

bool IsKind(std::string_view text) {
  return text == "model" || text == "plain";
}

bool IsFencing(std::string_view text) {
  return text == "enforced" || text == "ignored";
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

bool IsPath(std::string_view text) {
  return text.starts_with('/') && IsPrintable(text);
}

bool IsUnreservedPathPrefix(std::string_view text) {
  if (!IsPath(text) || text.size() < 2 || text.ends_with('/')) {
    return false;
  }
  const std::string_view first = text.substr(0, text.find('/', 1));
  return std::find(kReservedPrefixes.begin(), kReservedPrefixes.end(), first) ==
         kReservedPrefixes.end();
}

bool IsRoute(std::string_view text) {
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) {
    return false;
  }
  const std::string_view method = text.substr(0, space);
  return std::find(kMethods.begin(), kMethods.end(), method) !=
             kMethods.end() &&
         IsPath(text.substr(space + 1));
}

bool IsEndpoint(std::string_view text) {
  return ParseEndpoint(text).has_value();
}

constexpr std::string_view kDigestRule = "64 lower-case hexadecimal digits";
constexpr std::string_view kPrefixRule =
    "an absolute path of at most 128 characters without '/' at its end, not "
    "/v1, /admin, /metrics or /healthz nor below them";
constexpr std::string_view kRouteRule =
    "\"METHOD /path\" with GET, HEAD, POST, PUT, PATCH or DELETE";

constexpr Section kSite = Section::kSites;
constexpr Section kService = Section::kServices;
constexpr Section kEngine = Section::kEngines;
constexpr Section kWorkspace = Section::kWorkspaces;

using enum OptionType;
using enum OptionScope;

// clang-format off
constexpr auto kOptions = std::to_array<OptionSpec>({
  {kSite, "failure_domains", kTextList, 1, 64, "", "", true, kBaseOnly, IsIdentifier, kIdentifierRule},

  {kService, "enabled", kBool, 0, 0, "", "true"},
  {kService, "sites", kTextList, 1, 32, "", "", false, kBaseOnly, IsIdentifier, kIdentifierRule},
  {kService, "kind", kText, 1, kMaxTextLength, "", "", true, kOverlayIfUnset, IsKind, "\"model\" or \"plain\""},
  {kService, "model", kText, 1, kMaxTextLength, "", "", false, kAny, IsPrintable, "1 to 128 printable characters without spaces"},
  {kService, "path_prefix", kText, 1, kMaxTextLength, "", "", false, kAny, IsUnreservedPathPrefix, kPrefixRule},
  {kService, "non_idempotent_routes", kTextList, 0, kMaxListLength, "", "[]", false, kAny, IsRoute, kRouteRule},
  {kService, "default_time_limit", kDuration, 0.1, kSecondsPerDay, "duration", "\"1m\""},
  {kService, "max_time_limit", kDuration, 0.1, kSecondsPerDay, "duration", "\"10m\""},
  {kService, "own_time_weight", kNumber, 0, 1000, "", "1.0"},
  {kService, "inflicted_delay_weight", kNumber, 0, 1000, "", "1.0"},
  {kService, "retry_ratio", kNumber, 0, 1, "retries per first try", "0.1"},
  {kService, "max_queued", kInteger, 0, 100'000, "requests per entry", "1000"},
  {kService, "max_ejected_share", kNumber, 0, 0.9, "share of engines", "0.3"},
  {kService, "hedging", kBool, 0, 0, "", "false"},
  {kService, "priority", kInteger, -100, 100, "", "0"},
  {kService, "default_output_tokens", kInteger, 1, 1'000'000, "tokens", "256"},
  {kService, "idempotency_window", kDuration, 60, 7 * kSecondsPerDay, "duration", "\"1d\""},
  {kService, "adapter", kText, 0, kMaxTextLength, "", "\"\"", false, kAny, IsPrintable, "at most 128 printable characters without spaces"},
  {kService, "version", kText, 0, kMaxTextLength, "", "\"\"", false, kAny, IsPrintable, "at most 128 printable characters without spaces"},

  {kEngine, "enabled", kBool, 0, 0, "", "true"},
  {kEngine, "service", kText, 1, kMaxTextLength, "", "", true, kAny, IsIdentifier, kIdentifierRule},
  {kEngine, "endpoint", kText, 1, kMaxTextLength, "", "", true, kAny, IsEndpoint, "IP:PORT"},
  {kEngine, "failure_domain", kText, 1, kMaxTextLength, "", "", true, kAny, IsIdentifier, kIdentifierRule},
  {kEngine, "fencing", kText, 1, kMaxTextLength, "", "\"ignored\"", false, kAny, IsFencing, "\"enforced\" or \"ignored\""},
  {kEngine, "memory", kInteger, 0, 1e9, "tokens", "0"},

  {kWorkspace, "enabled", kBool, 0, 0, "", "true"},
  {kWorkspace, "sites", kTextList, 1, 32, "", "", false, kBaseOnly, IsIdentifier, kIdentifierRule},
  {kWorkspace, "token_digest", kText, 1, kMaxTextLength, "", "", true, kAny, IsDigest, kDigestRule},
  {kWorkspace, "weight", kNumber, 0.01, 1000, "", "1.0"},
  {kWorkspace, "requests_per_second", kNumber, 0.01, 1e6, "requests/s", "100.0"},
  {kWorkspace, "tokens_per_second", kNumber, 1, 1e9, "tokens/s", "1000000.0"},
  {kWorkspace, "priority", kInteger, -100, 100, "", "0"},
  {kWorkspace, "services", kTextList, 0, kMaxListLength, "", "[]", false, kAny, IsIdentifier, kIdentifierRule},
});
// clang-format on

}  // namespace

std::string_view SectionName(Section section) {
  switch (section) {
    case Section::kSites:
      return "sites";
    case Section::kServices:
      return "services";
    case Section::kEngines:
      return "engines";
    case Section::kWorkspaces:
      return "workspaces";
  }
  return "";
}

std::span<const OptionSpec> AllOptions() {
  return kOptions;
}

const OptionSpec* FindOption(Section section, std::string_view key) {
  for (const OptionSpec& it : kOptions) {
    if (it.section == section && it.key == key) {
      return &it;
    }
  }
  return nullptr;
}

std::string DescribeAllowedValues(const OptionSpec& spec) {
  switch (spec.type) {
    case OptionType::kBool:
      return "true or false";
    case OptionType::kInteger:
      return fmt::format("a whole number from {:.0f} to {:.0f}", spec.min,
                         spec.max);
    case OptionType::kNumber:
      return fmt::format("a number from {} to {}", spec.min, spec.max);
    case OptionType::kDuration:
      return fmt::format("a duration such as \"30s\", from {} to {} seconds",
                         spec.min, spec.max);
    case OptionType::kText:
      return std::string(spec.rule);
    case OptionType::kTextList:
      return fmt::format("a list of {:.0f} to {:.0f} texts, each {}", spec.min,
                         spec.max, spec.rule);
  }
  return "";
}

bool IsIdentifier(std::string_view text) {
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '-';
  };
  return !text.empty() && text.size() <= kMaxIdentifier &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

}  // namespace kingcupdrift::internal
