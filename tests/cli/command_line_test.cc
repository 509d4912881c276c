#include "kingcupdrift/cli/internal/command_line.h"

#include <absl/flags/reflection.h>
#include <doctest/doctest.h>

#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "kingcupdrift/cli/internal/run_command.h"

namespace kingcupdrift::internal {
namespace {

/// Exit code and output of one run, and the settings passed to `serve`.
struct RunOutcome {
  int exit_code = 0;
  std::string out;
  std::string err;
  std::optional<EntrySettings> served;
};

RunOutcome Run(const std::vector<std::string>& words,
               const Environment& environment = {}) {
  const absl::FlagSaver saver;
  RunOutcome outcome;
  std::ostringstream out;
  std::ostringstream err;
  const Serve serve = [&outcome](const EntrySettings& settings) {
    outcome.served = settings;
    return 0;
  };
  outcome.exit_code = RunCommand(words, environment, {serve, {}}, out, err);
  outcome.out = out.str();
  outcome.err = err.str();
  return outcome;
}

Environment ServeEnvironment() {
  return {{"KINGCUPDRIFT_INSTANCE", "entry-1"},
          {"KINGCUPDRIFT_SITE", "andina"},
          {"KINGCUPDRIFT_FAILURE_DOMAIN", "bogota-a"},
          {"KINGCUPDRIFT_LISTEN", "127.0.0.1:8080"},
          {"KINGCUPDRIFT_PEER_LISTEN", "127.0.0.1:8081"},
          {"KINGCUPDRIFT_STORE", "127.0.0.1:2379"},
          {"KINGCUPDRIFT_INSTANCE_LIST", "127.0.0.1:6443"},
          {"KINGCUPDRIFT_SHARED_SECRET", "0123456789abcdef"},
          {"PATH", "/bin"}};
}

TEST_CASE("Flags take precedence over environment variables [cli]") {
  const RunOutcome outcome =
      Run({"serve", "--instance=entry-2", "--drain_limit", "30s",
           "--seed_peers=10.0.0.1:1,10.0.0.2:2"},
          ServeEnvironment());
  CHECK(outcome.err.empty());
  REQUIRE(outcome.served);
  CHECK(outcome.served->instance == InstanceId("entry-2"));
  CHECK(outcome.served->site == SiteId("andina"));
  CHECK(outcome.served->drain_limit == std::chrono::seconds(30));
  CHECK(outcome.served->entries_lifetime == std::chrono::seconds(10));
  CHECK(outcome.served->seed_peers.size() == 2);
  CHECK(outcome.served->caller_endpoint.port == 8080);
}

TEST_CASE("A wrong setting stops the start with one error line [cli]") {
  struct Wrong {
    std::vector<std::string> flags;
    Environment changes;
    std::string line;
  };
  const std::vector<Wrong> cases = {
      {{"--store=host:1"},
       {},
       "--store: \"host:1\" is not allowed; allowed: an IP address and a port, "
       "IP:PORT"},
      {{"--stroe=10.0.0.1:1"},
       {},
       "--stroe: unknown flag; allowed: see 'kingcupdrift help'"},
      {{"--store"},
       {},
       "--store: no value; allowed: an IP address and a port, IP:PORT"},
      {{"--site=a", "--site=b"},
       {},
       "--site: given twice, as \"a\" and \"b\"; allowed: once"},
      {{"--limit=3"},
       {},
       "--limit: not a flag of 'serve'; allowed: see 'kingcupdrift help "
       "serve'"},
      {{"--drain_limit=25h"},
       {},
       "--drain_limit: \"25h\" is not allowed; allowed: 0s to 24h"},
      {{"--random_seed=-1"},
       {},
       "--random_seed: \"-1\" is not allowed; allowed: 0 to "
       "18446744073709551615"},
      {{"--log_level=loud"},
       {},
       "--log_level: \"loud\" is not allowed; allowed: debug, info, warning or "
       "error"},
      {{"--seed_peers=10.0.0.1"},
       {},
       "--seed_peers: \"10.0.0.1\" is not allowed; allowed: "
       "IP:PORT[,IP:PORT...]"},
      {{"--instance=A B"},
       {},
       "--instance: \"A B\" is not allowed; allowed: 1 to 64 characters of "
       "a-z, 0-9, '_' and '-'"},
      {{"--peer_listen=127.0.0.1:8080"},
       {},
       "--peer_listen: \"127.0.0.1:8080\" is also --listen; allowed: an "
       "address of its own"},
      {{"now"},
       {},
       "\"now\": unexpected word; allowed: only flags after "
       "'serve'"},
      {{},
       {{"KINGCUPDRIFT_SHARED_SECRET", "short"}},
       "KINGCUPDRIFT_SHARED_SECRET: the value is not allowed; allowed: at "
       "least 16 bytes"},
      {{},
       {{"KINGCUPDRIFT_ENTRIES_LIFETIME", "0s"}},
       "KINGCUPDRIFT_ENTRIES_LIFETIME: \"0s\" is not allowed; allowed: 1s to "
       "1h"},
      {{},
       {{"KINGCUPDRIFT_INSTANSE", "x"}},
       "KINGCUPDRIFT_INSTANSE: unknown environment variable; allowed: "
       "KINGCUPDRIFT_ and the name of a flag, see 'kingcupdrift help'"},
      {{},
       {{"KINGCUPDRIFT_SITE", ""}},
       "--site: not set; allowed: 1 to 64 characters of a-z, 0-9, '_' and "
       "'-', as a flag or in KINGCUPDRIFT_SITE"},
  };
  for (const Wrong& it : cases) {
    CAPTURE(it.line);
    std::vector<std::string> words = {"serve"};
    words.insert(words.end(), it.flags.begin(), it.flags.end());
    Environment environment = ServeEnvironment();
    for (const auto& [name, value] : it.changes) {
      environment[name] = value;
    }
    const RunOutcome outcome = Run(words, environment);
    CHECK(outcome.exit_code == 2);
    CHECK(!outcome.served);
    CHECK(outcome.err == "kingcupdrift: " + it.line + "\n");
  }
}

TEST_CASE("An environment variable of another command is ignored [cli]") {
  const RunOutcome outcome =
      Run({"version"}, {{"KINGCUPDRIFT_STORE", "127.0.0.1:1"}});
  CHECK(outcome.exit_code == 0);
}

TEST_CASE("Help lists each flag with unit, default and variable [cli]") {
  for (const FlagSpec& flag : GetAllFlags()) {
    CHECK(!GetFlagHelp(flag.name).empty());
    for (const Command command : flag.commands) {
      std::vector<std::string> words = {"help"};
      std::istringstream name{std::string(GetCommandName(command))};
      for (std::string word; name >> word;) {
        words.push_back(word);
      }
      const std::string out = Run(words).out;
      CAPTURE(out);
      CHECK(out.find("--" + std::string(flag.name) + " ") != std::string::npos);
      CHECK(out.find(GetEnvironmentVariableName(flag.name)) !=
            std::string::npos);
    }
  }
  CHECK(Run({"serve", "--help"}).out == Run({"help", "serve"}).out);
  CHECK(Run({}).out == Run({"help"}).out);
  CHECK(Run({"help", "nonsense"}).exit_code == 2);
}

TEST_CASE("A command names the required flag that is not set [cli]") {
  const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
      {{"config", "check"}, "--base"},
      {{"config", "show"}, "--site"},
      {{"config", "show", "--site=a"}, "--base, --store"},
      {{"config", "submit"}, "--store"},
      {{"config", "submit", "--store=127.0.0.1:1", "--operator=a"},
       "--base, --overlay"},
      {{"config", "approve", "--store=127.0.0.1:1", "--operator=a"}, "DIGEST"},
      {{"config", "history"}, "--store"},
      {{"config", "audit", "--store=127.0.0.1:1"}, "--shared_secret"},
      {{"timeline", "--shared_secret=0123456789abcdef"}, "--entries"},
      {{"config", "explode"}, "\"config explode\""},
  };
  for (const auto& [words, named] : cases) {
    const RunOutcome outcome = Run(words);
    CAPTURE(outcome.err);
    CHECK(outcome.exit_code == 2);
    CHECK(outcome.err.starts_with("kingcupdrift: " + named));
  }
}

TEST_CASE("Example files are checked and shown offline [cli]") {
  const std::string folder = KINGCUPDRIFT_SOURCE_DIR "/examples/";
  const std::string base = "--base=" + folder + "base.toml";
  const std::string overlay = "--overlay=andina=" + folder +
                              "andina.toml,great-lakes=" + folder +
                              "great-lakes.toml";
  const RunOutcome check = Run({"config", "check", base, overlay});
  CHECK(check.exit_code == 0);
  CHECK(check.out.find("andina       2         27       10") !=
        std::string::npos);
  const RunOutcome show =
      Run({"config", "show", "--site=great-lakes", base, overlay});
  CHECK(show.exit_code == 0);
  CHECK(show.out.find("great-lakes.toml:4") != std::string::npos);
  const RunOutcome json =
      Run({"config", "check", "--json", "--base=" + folder + "andina.toml"});
  CHECK(json.exit_code == 1);
  CHECK(json.out.find("\"valid\": false") != std::string::npos);
  CHECK(Run({"config", "check", "--base=/nowhere"}).exit_code == 1);
}

}  // namespace
}  // namespace kingcupdrift::internal
