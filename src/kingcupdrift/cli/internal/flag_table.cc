#include "kingcupdrift/cli/internal/flag_table.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <charconv>

#include "kingcupdrift/config/config.h"

ABSL_FLAG(std::string, instance, "", "Name of this instance.");
ABSL_FLAG(std::string, site, "", "Site whose configuration is used.");
ABSL_FLAG(std::string,
          failure_domain,
          "",
          "Failure domain that this instance is in.");
ABSL_FLAG(std::string, listen, "", "Listener for callers and operators.");
ABSL_FLAG(std::string, peer_listen, "", "Listener for other instances.");
ABSL_FLAG(std::string, store, "", "The platform's key-value service.");
ABSL_FLAG(std::string, instance_list, "", "The platform's list of instances.");
ABSL_FLAG(std::string,
          seed_peers,
          "",
          "Instances to contact first, besides the platform's list.");
ABSL_FLAG(std::string,
          shared_secret,
          "",
          "Secret of all instances and operators. Prefer the environment "
          "variable, since others can read a command line.");
ABSL_FLAG(std::string,
          entries_lifetime,
          "10s",
          "How long callers may keep the list of addresses.");
ABSL_FLAG(std::string,
          drain_limit,
          "11m",
          "Longest wait for requests in progress when stopping.");
ABSL_FLAG(std::string,
          client_memory_mb,
          "1024",
          "Megabytes that requests may take before they are read whole; 0 "
          "means no bound.");
ABSL_FLAG(std::string,
          random_seed,
          "0",
          "Seed of the random numbers; 0 picks a random seed.");
ABSL_FLAG(std::string, log_level, "info", "Lowest level that is logged.");
ABSL_FLAG(std::string, config, "", "Settings file that the platform wrote.");
ABSL_FLAG(std::string, base, "", "Base file.");
ABSL_FLAG(std::string, overlay, "", "Overlay file of each site.");
ABSL_FLAG(std::string,
          operator,
          "",
          "Your name, written into the proposal or approval record.");
ABSL_FLAG(std::string,
          time_limit,
          "15s",
          "Time for the store and the instances to answer.");
ABSL_FLAG(std::string, limit, "50", "Number of newest records to read.");
ABSL_FLAG(std::string,
          entries,
          "",
          "Instances to ask, in place of the platform's list.");
ABSL_FLAG(std::string, request, "", "Only events of this request.");
ABSL_FLAG(std::string, workspace, "", "Only events of this workspace.");
ABSL_FLAG(std::string,
          trace,
          "",
          "Write JSON for a trace viewer to this file.");
ABSL_FLAG(bool, json, false, "Print results as JSON.");

namespace kingcupdrift::internal {
namespace {

constexpr std::size_t kMinSecretLength = 16;
constexpr Duration kMinLifetime = std::chrono::seconds(1);
constexpr Duration kMaxLifetime = std::chrono::hours(1);
constexpr Duration kMaxDrain = std::chrono::hours(24);
constexpr Duration kMaxTimeLimit = std::chrono::minutes(10);
constexpr std::uint64_t kMaxClientMegabytes = 1'000'000;
constexpr std::uint64_t kMaxHistory = 1'000'000;

bool IsAnything(std::string_view /*text*/) {
  return true;
}

bool IsName(std::string_view text) {
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '-';
  };
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

bool IsEndpointText(std::string_view text) {
  return ParseEndpoint(text).has_value();
}

bool IsEndpointList(std::string_view text) {
  const std::vector<std::string> parts = SplitList(text);
  return std::all_of(parts.begin(), parts.end(), IsEndpointText);
}

bool IsDurationBetween(std::string_view text, Duration min, Duration max) {
  const Result<Duration> duration = ParseDuration(text);
  return duration && *duration >= min && *duration <= max;
}

bool IsLifetime(std::string_view text) {
  return IsDurationBetween(text, kMinLifetime, kMaxLifetime);
}

bool IsDrainLimit(std::string_view text) {
  return IsDurationBetween(text, Duration(0), kMaxDrain);
}

bool IsTimeLimit(std::string_view text) {
  return IsDurationBetween(text, std::chrono::seconds(1), kMaxTimeLimit);
}

bool IsNumberUpTo(std::string_view text, std::uint64_t max) {
  std::uint64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  return ec == std::errc() && rest == end && n <= max;
}

bool IsClientMemory(std::string_view text) {
  return IsNumberUpTo(text, kMaxClientMegabytes);
}

bool IsSeed(std::string_view text) {
  return IsNumberUpTo(text, UINT64_MAX);
}

bool IsHistoryLimit(std::string_view text) {
  return text != "0" && IsNumberUpTo(text, kMaxHistory);
}

bool IsLogLevel(std::string_view text) {
  return text == "debug" || text == "info" || text == "warning" ||
         text == "error";
}

bool IsSecret(std::string_view text) {
  return text.size() >= kMinSecretLength;
}

bool IsOverlayList(std::string_view text) {
  const std::vector<std::string> parts = SplitList(text);
  return std::all_of(parts.begin(), parts.end(), [](std::string_view part) {
    const std::size_t equals = part.find('=');
    return equals != std::string_view::npos && IsName(part.substr(0, equals)) &&
           equals + 1 < part.size();
  });
}

bool IsBool(std::string_view text) {
  return text == "true" || text == "false";
}

using enum Command;

constexpr std::string_view kNameRule =
    "1 to 64 characters of a-z, 0-9, '_' "
    "and '-'";
constexpr std::string_view kEndpointRule = "an IP address and a port, IP:PORT";
constexpr std::string_view kEndpointListRule = "IP:PORT[,IP:PORT...]";

const std::vector<FlagSpec>& Table() {
  static const std::vector<Command> store_commands = {
      kServe,         kConfigShow,    kConfigSubmit,
      kConfigApprove, kConfigHistory, kConfigAudit};
  static const std::vector<Command> file_commands = {kConfigCheck, kConfigShow,
                                                     kConfigSubmit};
  static const std::vector<Command> instance_commands = {kConfigAudit,
                                                         kTimeline};
  static const std::vector<Command> network_commands = {
      kConfigShow,    kConfigSubmit, kConfigApprove,
      kConfigHistory, kConfigAudit,  kTimeline};
  static const std::vector<FlagSpec> table = {
      {"instance", "NAME", kNameRule, IsName, {kServe}},
      {"site", "NAME", kNameRule, IsName, {kServe, kConfigShow}},
      {"failure_domain", "NAME", kNameRule, IsName, {kServe}},
      {"listen", "IP:PORT", kEndpointRule, IsEndpointText, {kServe}},
      {"peer_listen", "IP:PORT", kEndpointRule, IsEndpointText, {kServe}},
      {"store", "IP:PORT", kEndpointRule, IsEndpointText, store_commands},
      {"instance_list",
       "IP:PORT",
       kEndpointRule,
       IsEndpointText,
       {kServe, kConfigAudit, kTimeline}},
      {"seed_peers",
       "IP:PORT,...",
       kEndpointListRule,
       IsEndpointList,
       {kServe}},
      {"shared_secret",
       "TEXT",
       "at least 16 bytes",
       IsSecret,
       {kServe, kConfigAudit, kTimeline},
       true},
      {"entries_lifetime", "duration", "1s to 1h", IsLifetime, {kServe}},
      {"drain_limit", "duration", "0s to 24h", IsDrainLimit, {kServe}},
      {"client_memory_mb", "number", "0 to 1000000", IsClientMemory, {kServe}},
      {"random_seed", "number", "0 to 18446744073709551615", IsSeed, {kServe}},
      {"log_level",
       "LEVEL",
       "debug, info, warning or error",
       IsLogLevel,
       {kServe, kServePlatform}},
      {"config", "FILE", "a file name", IsAnything, {kServePlatform}},
      {"base", "FILE", "a file name", IsAnything, file_commands},
      {"overlay", "SITE=FILE,...", "SITE=FILE[,SITE=FILE...]", IsOverlayList,
       file_commands},
      {"operator",
       "NAME",
       "1 to 128 bytes without control characters",
       IsOperatorName,
       {kConfigSubmit, kConfigApprove}},
      {"time_limit", "duration", "1s to 10m", IsTimeLimit, network_commands},
      {"limit", "number", "1 to 1000000", IsHistoryLimit, {kConfigHistory}},
      {"entries", "IP:PORT,...", kEndpointListRule, IsEndpointList,
       instance_commands},
      {"request", "ID", "a request identifier", IsAnything, {kTimeline}},
      {"workspace", "ID", "a workspace identifier", IsAnything, {kTimeline}},
      {"trace", "FILE", "a file name", IsAnything, {kTimeline}},
      {"json",
       "",
       "true or false",
       IsBool,
       {kConfigCheck, kConfigShow, kConfigSubmit, kConfigApprove,
        kConfigHistory, kConfigAudit, kTimeline, kVersion}},
  };
  return table;
}

}  // namespace

std::span<const FlagSpec> GetAllFlags() {
  return Table();
}

const FlagSpec* FindFlag(std::string_view name) {
  for (const FlagSpec& it : Table()) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

bool IsFlagOf(const FlagSpec& flag, Command command) {
  return std::find(flag.commands.begin(), flag.commands.end(), command) !=
         flag.commands.end();
}

std::string GetEnvironmentVariableName(std::string_view flag) {
  std::string out = "KINGCUPDRIFT_";
  for (const char c : flag) {
    out += c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
  }
  return out;
}

std::string GetFlagText(std::string_view name) {
  return absl::FindCommandLineFlag(absl::string_view(name.data(), name.size()))
      ->CurrentValue();
}

std::string GetFlagDefault(std::string_view name) {
  return absl::FindCommandLineFlag(absl::string_view(name.data(), name.size()))
      ->DefaultValue();
}

std::string GetFlagHelp(std::string_view name) {
  return absl::FindCommandLineFlag(absl::string_view(name.data(), name.size()))
      ->Help();
}

Result<void> SetFlagText(const FlagSpec& flag,
                         std::string_view source,
                         std::string_view value) {
  const absl::string_view name(flag.name.data(), flag.name.size());
  const absl::string_view text(value.data(), value.size());
  std::string ignored;
  if (!flag.is_valid(value) ||
      !absl::FindCommandLineFlag(name)->ParseFrom(text, &ignored)) {
    const std::string shown =
        flag.is_secret ? "the value" : fmt::format("\"{}\"", value);
    return MakeError(ErrorCode::kInvalidArgument,
                     fmt::format("{}: {} is not allowed; allowed: {}", source,
                                 shown, flag.allowed));
  }
  return {};
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    if (comma > 0) {
      out.emplace_back(text.substr(0, comma));
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return out;
}

}  // namespace kingcupdrift::internal
