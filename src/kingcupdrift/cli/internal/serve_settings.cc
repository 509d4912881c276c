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

/// Flags are checked when they are set.
Endpoint EndpointOf(std::string_view flag) {
  return ParseEndpoint(FlagText(flag)).value_or(Endpoint{});
}

Duration DurationOf(std::string_view flag) {
  return ParseDuration(FlagText(flag)).value_or(Duration(0));
}

std::uint64_t NumberOf(std::string_view flag) {
  const std::string text = FlagText(flag);
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

Result<void> CheckRequired() {
  for (const std::string_view name : kRequired) {
    if (FlagText(name).empty()) {
      return MakeError(
          ErrorCode::kInvalidArgument,
          fmt::format("--{}: not set; allowed: {}, here or in {}", name,
                      FindFlag(name)->allowed, EnvironmentName(name)));
    }
  }
  return {};
}

Result<void> CheckDifferent(std::string_view a, std::string_view b) {
  if (EndpointOf(a) == EndpointOf(b)) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        fmt::format("--{}: \"{}\" is also --{}; allowed: an address of its own",
                    a, FlagText(a), b));
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
  settings.instance = InstanceId(FlagText("instance"));
  settings.site = SiteId(FlagText("site"));
  settings.failure_domain = FailureDomain(FlagText("failure_domain"));
  settings.caller_endpoint = EndpointOf("listen");
  settings.peer_endpoint = EndpointOf("peer_listen");
  settings.store_endpoint = EndpointOf("store");
  settings.instance_list_endpoint = EndpointOf("instance_list");
  for (const std::string& it : SplitList(FlagText("seed_peers"))) {
    settings.seed_peers.push_back(ParseEndpoint(it).value_or(Endpoint{}));
  }
  settings.shared_secret = FlagText("shared_secret");
  settings.entries_lifetime = DurationOf("entries_lifetime");
  settings.drain_limit = DurationOf("drain_limit");
  settings.random_seed = NumberOf("random_seed");
  return settings;
}

LogLevel ChosenLogLevel() {
  const std::string text = FlagText("log_level");
  if (text == "debug") {
    return LogLevel::kDebug;
  }
  if (text == "warning") {
    return LogLevel::kWarning;
  }
  return text == "error" ? LogLevel::kError : LogLevel::kInfo;
}

}  // namespace kingcupdrift::internal
