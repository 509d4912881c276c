#include "kingcupdrift/cli/internal/help_text.h"

#include <array>
#include <sstream>

#include "kingcupdrift/cli/internal/command_io.h"
#include "kingcupdrift/cli/internal/command_line.h"

namespace kingcupdrift::internal {
namespace {

struct CommandHelp {
  Command command;
  std::string_view usage;
  std::string_view summary;
  std::string_view exit_codes;
};

constexpr std::array<CommandHelp, 11> kHelp = {{
    {Command::kServe, "serve FLAGS", "Runs one instance until SIGTERM.",
     "0 all requests ended, 2 wrong flag, 3 cannot listen, 4 some requests "
     "were still running at the drain limit"},
    {Command::kServePlatform, "serve-platform --config FILE",
     "Runs one instance on the users' platform until SIGTERM.",
     "0 stopped as planned, 2 wrong flag or settings file, 3 cannot listen"},
    {Command::kConfigCheck, "config check --base FILE --overlay SITE=FILE,...",
     "Checks files, without a running system.",
     "0 valid, 1 invalid, 2 wrong "
     "flag"},
    {Command::kConfigShow,
     "config show --site NAME (--base FILE --overlay SITE=FILE | --store "
     "IP:PORT)",
     "Prints a site's merged options and where each was set.",
     "0 shown, 1 failed, 2 wrong flag, 3 no answer"},
    {Command::kConfigSubmit,
     "config submit --store IP:PORT --operator NAME [--base FILE] [--overlay "
     "SITE=FILE,...]",
     "Stores changed documents as a proposal; the others stay as approved.",
     "0 stored, 1 failed, 2 wrong flag, 3 no answer, 5 effect unknown"},
    {Command::kConfigApprove,
     "config approve DIGEST --store IP:PORT --operator NAME",
     "Approves a proposal, which puts it in force.",
     "0 approved, 1 failed, 2 wrong flag, 3 no answer, 4 another change came "
     "first, 5 effect unknown"},
    {Command::kConfigHistory, "config history --store IP:PORT",
     "Lists approved generations and verifies their chain of digests.",
     "0 the chain is valid, 1 it is broken, 2 wrong flag, 3 no answer"},
    {Command::kConfigAudit,
     "config audit --store IP:PORT (--instance_list IP:PORT | --entries "
     "IP:PORT,...)",
     "Compares what every instance has in force with what was approved.",
     "0 all the same, 1 some differ, 2 wrong flag, 3 some gave no answer"},
    {Command::kTimeline,
     "timeline (--instance_list IP:PORT | --entries IP:PORT,...)",
     "Collects the recent events of all instances, sorted by time.",
     "0 all answered, 1 trace file not written, 2 wrong flag, 3 some gave no "
     "answer"},
    {Command::kVersion, "version", "Prints the version.", "0"},
    {Command::kHelp, "help [COMMAND]", "Prints help.", "0, 2 unknown command"},
}};

const CommandHelp& Find(Command command) {
  for (const CommandHelp& it : kHelp) {
    if (it.command == command) {
      return it;
    }
  }
  return kHelp.back();
}

}  // namespace

std::string FormatGeneralHelp() {
  std::ostringstream out;
  out << "Usage: kingcupdrift COMMAND [FLAGS]\n\n";
  std::vector<std::vector<std::string>> rows;
  rows.reserve(kHelp.size());
  for (const CommandHelp& it : kHelp) {
    rows.push_back({"  " + std::string(GetCommandName(it.command)),
                    std::string(it.summary)});
  }
  WriteTable(rows, out);
  out << "\nEach flag has an environment variable; the flag wins. See "
         "'kingcupdrift help COMMAND'.\n";
  return out.str();
}

std::string FormatCommandHelp(Command command) {
  const CommandHelp& help = Find(command);
  std::ostringstream out;
  out << "Usage: kingcupdrift " << help.usage << "\n\n"
      << help.summary << "\n\n";
  std::vector<std::vector<std::string>> rows = {
      {"FLAG", "UNIT", "DEFAULT", "ENVIRONMENT VARIABLE", "MEANING"}};
  for (const FlagSpec& it : GetAllFlags()) {
    if (!IsFlagOf(it, command)) {
      continue;
    }
    const std::string value = GetFlagDefault(it.name);
    rows.push_back({"--" + std::string(it.name),
                    it.placeholder.empty() ? "-" : std::string(it.placeholder),
                    value.empty() ? "-" : value,
                    GetEnvironmentVariableName(it.name), GetFlagHelp(it.name)});
  }
  if (rows.size() > 1) {
    WriteTable(rows, out);
    out << '\n';
  }
  out << "Exit codes: " << help.exit_codes << ".\n";
  return out.str();
}

}  // namespace kingcupdrift::internal
