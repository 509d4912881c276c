#include "kingcupdrift/cli/internal/command_line.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace kingcupdrift::internal {
namespace {

struct NamedCommand {
  std::string_view name;
  Command command;
};

constexpr std::array<NamedCommand, 11> kCommands = {{
    {"serve", Command::kServe},
    {"serve-platform", Command::kServePlatform},
    {"config check", Command::kConfigCheck},
    {"config show", Command::kConfigShow},
    {"config submit", Command::kConfigSubmit},
    {"config approve", Command::kConfigApprove},
    {"config history", Command::kConfigHistory},
    {"config audit", Command::kConfigAudit},
    {"timeline", Command::kTimeline},
    {"version", Command::kVersion},
    {"help", Command::kHelp},
}};

constexpr std::string_view kVariablePrefix = "KINGCUPDRIFT_";
constexpr std::string_view kCommandNames =
    "serve, serve-platform, config check, config show, config submit, config "
    "approve, config "
    "history, config audit, timeline, version or help";

std::optional<Command> FindCommand(std::string_view name) {
  for (const NamedCommand& it : kCommands) {
    if (it.name == name) {
      return it.command;
    }
  }
  return std::nullopt;
}

/// A flag as it was typed.
struct FlagWord {
  std::string name;
  std::optional<std::string> value;
};

FlagWord SplitFlag(const std::string& word) {
  const std::size_t start = word.starts_with("--") ? 2 : 1;
  const std::size_t equals = word.find('=');
  if (equals == std::string::npos) {
    return {word.substr(start), std::nullopt};
  }
  return {word.substr(start, equals - start), word.substr(equals + 1)};
}

/// Separates flags from other words, finds the command and sets the flags.
class Parser {
 public:
  Result<CommandLine> Parse(const std::vector<std::string>& words,
                            const Environment& environment) {
    for (std::size_t i = 0; i < words.size(); ++i) {
      if (Result<void> read = ReadWord(words, i); !read) {
        return tl::unexpected(read.error());
      }
    }
    if (Result<void> command = ReadCommand(); !command) {
      return tl::unexpected(command.error());
    }
    if (line_.is_help_wanted) {
      return line_;
    }
    if (Result<void> set = SetFlags(environment); !set) {
      return tl::unexpected(set.error());
    }
    return line_;
  }

 private:
  Result<void> ReadWord(const std::vector<std::string>& words, std::size_t& i) {
    const std::string& word = words[i];
    if (!word.starts_with("-") || word == "-") {
      plain_.push_back(word);
      return {};
    }
    FlagWord flag = SplitFlag(word);
    if (flag.name == "help" || flag.name == "h") {
      line_.is_help_wanted = true;
      return {};
    }
    const FlagSpec* spec = FindFlag(flag.name);
    if (spec == nullptr) {
      return Refuse("--{}: unknown flag; allowed: see 'kingcupdrift help'",
                    flag.name);
    }
    if (!flag.value && spec->placeholder.empty()) {
      flag.value = "true";
    }
    if (!flag.value) {
      if (i + 1 >= words.size()) {
        return Refuse("--{}: no value; allowed: {}", flag.name, spec->allowed);
      }
      flag.value = words[++i];
    }
    const auto [it, is_new] = typed_.emplace(flag.name, *flag.value);
    if (!is_new && it->second != *flag.value) {
      return Refuse("--{}: given twice, as \"{}\" and \"{}\"; allowed: once",
                    flag.name, it->second, *flag.value);
    }
    return {};
  }

  Result<void> ReadCommand() {
    if (plain_.empty()) {
      line_.command = Command::kHelp;
      return {};
    }
    std::size_t used = 1;
    std::optional<Command> command = FindCommand(plain_[0]);
    if (!command && plain_.size() > 1) {
      command = FindCommand(plain_[0] + " " + plain_[1]);
      used = 2;
    }
    if (!command) {
      return Refuse("\"{}\": unknown command; allowed: {}",
                    fmt::join(plain_, " "), kCommandNames);
    }
    line_.command = *command;
    line_.arguments.assign(plain_.begin() + static_cast<std::ptrdiff_t>(used),
                           plain_.end());
    const std::size_t allowed = AllowedArguments(*command);
    if (line_.arguments.size() > allowed) {
      return Refuse("\"{}\": unexpected word; allowed: {} after '{}'",
                    line_.arguments[allowed],
                    allowed == 0 ? "only flags" : "fewer arguments",
                    GetCommandName(*command));
    }
    return {};
  }

  static std::size_t AllowedArguments(Command command) {
    switch (command) {
      case Command::kConfigApprove:
        return 1;
      case Command::kHelp:
        return 2;
      default:
        return 0;
    }
  }

  Result<void> SetFlags(const Environment& environment) {
    for (const auto& [name, value] : typed_) {
      const FlagSpec& spec = *FindFlag(name);
      if (!IsFlagOf(spec, line_.command)) {
        return Refuse(
            "--{}: not a flag of '{}'; allowed: see 'kingcupdrift "
            "help {}'",
            name, GetCommandName(line_.command), GetCommandName(line_.command));
      }
      if (Result<void> set = SetFlagText(spec, "--" + name, value); !set) {
        return set;
      }
    }
    for (const auto& [variable, value] : environment) {
      if (variable.starts_with(kVariablePrefix)) {
        if (Result<void> set = SetFromVariable(variable, value); !set) {
          return set;
        }
      }
    }
    return {};
  }

  Result<void> SetFromVariable(const std::string& variable,
                               const std::string& value) {
    for (const FlagSpec& it : GetAllFlags()) {
      if (GetEnvironmentVariableName(it.name) != variable) {
        continue;
      }
      const bool is_used = IsFlagOf(it, line_.command) &&
                           !typed_.contains(std::string(it.name)) &&
                           !value.empty();
      return is_used ? SetFlagText(it, variable, value) : Result<void>();
    }
    return Refuse(
        "{}: unknown environment variable; allowed: KINGCUPDRIFT_ and the name "
        "of a flag, see 'kingcupdrift help'",
        variable);
  }

  template <typename... Args>
  static tl::unexpected<Error> Refuse(fmt::format_string<Args...> format,
                                      Args&&... args) {
    return MakeError(ErrorCode::kInvalidArgument,
                     fmt::format(format, std::forward<Args>(args)...));
  }

  CommandLine line_;
  std::vector<std::string> plain_;
  std::map<std::string, std::string> typed_;
};

}  // namespace

std::string_view GetCommandName(Command command) {
  for (const NamedCommand& it : kCommands) {
    if (it.command == command) {
      return it.name;
    }
  }
  return "";
}

Result<CommandLine> ParseCommandLine(const std::vector<std::string>& words,
                                     const Environment& environment) {
  return Parser().Parse(words, environment);
}

}  // namespace kingcupdrift::internal
