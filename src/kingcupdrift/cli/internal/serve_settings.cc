#include "kingcupdrift/cli/internal/serve_settings.h"

#include <array>
#include <charconv>

#include "kingcupdrift/cli/internal/flag_table.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift::internal {
namespace {

constexpr std::array<std::string_view, 8> kRequired = {
    "instance",    "site",  "failure_domain", "listen",
    "peer_listen", "store", "instance_list",  "shared_secret"};

/// Does not fail: values are checked when a flag is set.
Endpoint ParseEndpointFlag(std::string_view flag) {
  return ParseEndpoint(GetFlagText(flag)).value_or(Endpoint{});
}

Duration ParseDurationFlag(std::string_view flag) {
  return ParseDuration(GetFlagText(flag)).value_or(Duration(0));
}

std::uint64_t ParseNumberFlag(std::string_view flag) {
  const std::string text = GetFlagText(flag);
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

Result<void> CheckRequired() {
  for (const std::string_view name : kRequired) {
    if (GetFlagText(name).empty()) {
      return MakeError(
          ErrorCode::kInvalidArgument,
          fmt::format("--{}: not set; allowed: {}, as a flag or in {}", name,
                      FindFlag(name)->allowed,
                      GetEnvironmentVariableName(name)));
    }
  }
  return {};
}

Result<void> CheckDifferent(std::string_view a, std::string_view b) {
  if (ParseEndpointFlag(a) == ParseEndpointFlag(b)) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        fmt::format("--{}: \"{}\" is also --{}; allowed: an address of its own",
                    a, GetFlagText(a), b));
  }
  return {};
}

}  // namespace

Result<EntrySettings> BuildServeSettings() {
  for (const Result<void>& it :
       {CheckRequired(), CheckDifferent("peer_listen", "listen"),
        CheckDifferent("store", "listen"),
        CheckDifferent("store", "peer_listen")}) {
    if (!it) {
      return tl::unexpected(it.error());
    }
  }
  EntrySettings settings;
  settings.instance = InstanceId(GetFlagText("instance"));
  settings.site = SiteId(GetFlagText("site"));
  settings.failure_domain = FailureDomain(GetFlagText("failure_domain"));
  settings.caller_endpoint = ParseEndpointFlag("listen");
  settings.peer_endpoint = ParseEndpointFlag("peer_listen");
  settings.store_endpoint = ParseEndpointFlag("store");
  settings.instance_list_endpoint = ParseEndpointFlag("instance_list");
  for (const std::string& it : SplitList(GetFlagText("seed_peers"))) {
    settings.seed_peers.push_back(ParseEndpoint(it).value_or(Endpoint{}));
  }
  settings.shared_secret = GetFlagText("shared_secret");
  settings.entries_lifetime = ParseDurationFlag("entries_lifetime");
  settings.drain_limit = ParseDurationFlag("drain_limit");
  constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
  settings.max_client_bytes = ByteCount(static_cast<std::int64_t>(
      ParseNumberFlag("client_memory_mb") * kBytesPerMegabyte));
  settings.random_seed = ParseNumberFlag("random_seed");
  return settings;
}

LogLevel GetLogLevelFlag() {
  const std::string text = GetFlagText("log_level");
  if (text == "debug") {
    return LogLevel::kDebug;
  }
  if (text == "warning") {
    return LogLevel::kWarning;
  }
  return text == "error" ? LogLevel::kError : LogLevel::kInfo;
}

}  // namespace kingcupdrift::internal
