#include "kingcupdrift/cli/internal/run_command.h"

#include <charconv>

#include "kingcupdrift/cli/internal/audit_command.h"
#include "kingcupdrift/cli/internal/command_io.h"
#include "kingcupdrift/cli/internal/config_commands.h"
#include "kingcupdrift/cli/internal/help_text.h"
#include "kingcupdrift/cli/internal/offline_commands.h"
#include "kingcupdrift/cli/internal/online_session.h"
#include "kingcupdrift/cli/internal/serve_settings.h"
#include "kingcupdrift/cli/internal/timeline_command.h"

namespace kingcupdrift::internal {
namespace {

constexpr char kVersion[] = KINGCUPDRIFT_VERSION;

/// Runs the command of a parsed command line.
class CommandRunner {
 public:
  CommandRunner(const CommandLine& line, const CommandIo& io)
      : line_(line), io_(io) {}

  ExitCode Run() {
    switch (line_.command) {
      case Command::kConfigCheck:
        return Check();
      case Command::kConfigShow:
        return Show();
      case Command::kConfigSubmit:
        return Submit();
      case Command::kConfigApprove:
        return Approve();
      case Command::kConfigHistory:
        return History();
      case Command::kConfigAudit:
        return Audit();
      case Command::kTimeline:
        return Timeline();
      case Command::kVersion:
        return Version();
      case Command::kServe:
      case Command::kServePlatform:
      case Command::kHelp:
        break;
    }
    io_.out << FormatGeneralHelp();
    return ExitCode::kOk;
  }

 private:
  ExitCode ReportUsageError(const std::string& text) {
    io_.err << "kingcupdrift: " << text << '\n';
    return ExitCode::kUsage;
  }

  /// Reports a usage error for the first flag of `names` that is not set.
  std::optional<ExitCode> CheckRequiredFlags(
      std::initializer_list<const char*> names) {
    for (const char* name : names) {
      if (GetFlagText(name).empty()) {
        return ReportUsageError(fmt::format(
            "--{}: not set; allowed: {}, as a flag or in {}", name,
            FindFlag(name)->allowed, GetEnvironmentVariableName(name)));
      }
    }
    return std::nullopt;
  }

  Result<ConfigFiles> Files() {
    return ReadConfigFiles(GetFlagText("base"), GetFlagText("overlay"));
  }

  ExitCode Check() {
    if (const auto missing = CheckRequiredFlags({"base"})) {
      return *missing;
    }
    const Result<ConfigFiles> files = Files();
    if (!files) {
      return Fail(io_, files.error(),
                  "check the file names, and that no file is too long.");
    }
    return CheckConfig(*files, io_);
  }

  ExitCode Show() {
    if (const auto missing = CheckRequiredFlags({"site"})) {
      return *missing;
    }
    const bool has_files = !GetFlagText("base").empty();
    if (has_files != GetFlagText("store").empty()) {
      return ReportUsageError(
          "--base, --store: both or none set; allowed: exactly one, --base to "
          "show files or --store to show what is approved");
    }
    const SiteId site(GetFlagText("site"));
    if (has_files) {
      const Result<ConfigFiles> files = Files();
      return files
                 ? ShowConfig(*files, site, io_)
                 : Fail(io_, files.error(),
                        "check the file names, and that no file is too long.");
    }
    OnlineSession session;
    ConfigCommands commands = Commands(session);
    const Result<ConfigFiles> approved = commands.LoadApproved();
    return approved ? ShowConfig(*approved, site, io_)
                    : Fail(io_, approved.error(),
                           "check --store, or approve a first configuration.");
  }

  ExitCode Submit() {
    if (const auto missing = CheckRequiredFlags({"store", "operator"})) {
      return *missing;
    }
    if (GetFlagText("base").empty() && GetFlagText("overlay").empty()) {
      return ReportUsageError(
          "--base, --overlay: none set; allowed: at least one of them, with "
          "the files that you changed");
    }
    const Result<ConfigFiles> files = Files();
    if (!files) {
      return Fail(io_, files.error(),
                  "check the file names, and that no file is too long.");
    }
    OnlineSession session;
    return Commands(session).Submit(*files, GetFlagText("operator"));
  }

  ExitCode Approve() {
    if (const auto missing = CheckRequiredFlags({"store", "operator"})) {
      return *missing;
    }
    if (line_.arguments.empty()) {
      return ReportUsageError(
          "DIGEST: not given; allowed: the digest that 'kingcupdrift config "
          "submit' printed");
    }
    OnlineSession session;
    return Commands(session).Approve(line_.arguments[0],
                                     GetFlagText("operator"));
  }

  ExitCode History() {
    if (const auto missing = CheckRequiredFlags({"store"})) {
      return *missing;
    }
    const std::string text = GetFlagText("limit");
    std::size_t limit = 0;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    OnlineSession session;
    return Commands(session).History(limit);
  }

  ExitCode Audit() {
    if (const auto missing = CheckRequiredFlags({"store", "shared_secret"})) {
      return *missing;
    }
    if (const auto wrong = CheckInstanceFlags()) {
      return *wrong;
    }
    OnlineSession session;
    const auto head = Commands(session).LoadHead();
    if (!head) {
      return Fail(io_, head.error(), "check --store, then repeat the audit.");
    }
    if (!*head) {
      return Fail(
          io_, {ErrorCode::kNotFound, "no configuration has been approved yet"},
          "submit and approve a first configuration.");
    }
    const auto instances = session.ListInstances();
    if (!instances) {
      return Fail(io_, instances.error(),
                  "check --instance_list, or name the instances by --entries.");
    }
    return AuditCommand(session.admin(), session.loop(), session.time_limit(),
                        io_)
        .Run(*instances, **head);
  }

  ExitCode Timeline() {
    if (const auto missing = CheckRequiredFlags({"shared_secret"})) {
      return *missing;
    }
    if (const auto wrong = CheckInstanceFlags()) {
      return *wrong;
    }
    OnlineSession session;
    const auto instances = session.ListInstances();
    if (!instances) {
      return Fail(io_, instances.error(),
                  "check --instance_list, or name the instances by --entries.");
    }
    return TimelineCommand(session.admin(), session.loop(),
                           session.time_limit(), io_)
        .Run(*instances, {GetFlagText("request"), GetFlagText("workspace")},
             GetFlagText("trace"));
  }

  std::optional<ExitCode> CheckInstanceFlags() {
    if (!GetFlagText("entries").empty() ||
        !GetFlagText("instance_list").empty()) {
      return std::nullopt;
    }
    return ReportUsageError(
        "--entries, --instance_list: none set; allowed: one of them");
  }

  ExitCode Version() {
    if (io_.is_json) {
      WriteJson({{"version", kVersion}}, io_.out);
    } else {
      io_.out << "kingcupdrift " << kVersion << '\n';
    }
    return ExitCode::kOk;
  }

  ConfigCommands Commands(OnlineSession& session) {
    return ConfigCommands(session.store(), session.clock(), session.random(),
                          session.loop(), session.time_limit(), io_);
  }

  const CommandLine& line_;
  const CommandIo& io_;
};

int RunServe(const Serve& serve, std::ostream& err) {
  const Result<EntrySettings> settings = BuildServeSettings();
  if (!settings) {
    err << "kingcupdrift: " << settings.error().detail << '\n';
    return static_cast<int>(ExitCode::kUsage);
  }
  SetLogLevel(GetLogLevelFlag());
  return serve(*settings);
}

int RunServePlatform(const ServePlatform& serve, std::ostream& err) {
  const std::string path = GetFlagText("config");
  if (path.empty()) {
    err << "kingcupdrift: --config: not set; allowed: a file name, as a flag "
           "or in "
        << GetEnvironmentVariableName("config") << '\n';
    return static_cast<int>(ExitCode::kUsage);
  }
  SetLogLevel(GetLogLevelFlag());
  return serve(path);
}

int RunHelp(const CommandLine& line, std::ostream& out, std::ostream& err) {
  if (line.command != Command::kHelp) {
    out << FormatCommandHelp(line.command);
    return static_cast<int>(ExitCode::kOk);
  }
  if (line.arguments.empty()) {
    out << FormatGeneralHelp();
    return static_cast<int>(ExitCode::kOk);
  }
  std::vector<std::string> words = line.arguments;
  words.emplace_back("--help");
  const Result<CommandLine> topic = ParseCommandLine(words, {});
  if (!topic) {
    err << "kingcupdrift: " << topic.error().detail << '\n';
    return static_cast<int>(ExitCode::kUsage);
  }
  out << FormatCommandHelp(topic->command);
  return static_cast<int>(ExitCode::kOk);
}

}  // namespace

int RunCommand(const std::vector<std::string>& words,
               const Environment& environment,
               const ServeFunctions& servers,
               std::ostream& out,
               std::ostream& err) {
  const Result<CommandLine> line = ParseCommandLine(words, environment);
  if (!line) {
    err << "kingcupdrift: " << line.error().detail << '\n';
    return static_cast<int>(ExitCode::kUsage);
  }
  if (line->is_help_wanted || line->command == Command::kHelp) {
    return RunHelp(*line, out, err);
  }
  if (line->command == Command::kServe) {
    return RunServe(servers.serve, err);
  }
  if (line->command == Command::kServePlatform) {
    return RunServePlatform(servers.serve_platform, err);
  }
  const CommandIo io{out, err, GetFlagText("json") == "true"};
  return static_cast<int>(CommandRunner(*line, io).Run());
}

}  // namespace kingcupdrift::internal
