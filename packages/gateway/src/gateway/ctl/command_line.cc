#include "gateway/ctl/command_line.h"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace qp::ctl {

namespace {

/// A sub-command and the one positional argument that it may take.
struct CommandInfo {
  Command command;
  std::string_view name;
  std::string_view argument;  ///< Empty if there is none.
  std::string_view summary;
};

constexpr std::array kCommands = {
    CommandInfo{Command::kApply, "apply", "FILE",
                "Puts the configuration in FILE into force."},
    CommandInfo{Command::kGet, "get", "",
                "Prints the configuration in force, as JSON."},
    CommandInfo{Command::kHistory, "history", "",
                "Lists the versions of the configuration."},
    CommandInfo{Command::kDiff, "diff", "FILE",
                "Shows what applying FILE would change."},
    CommandInfo{Command::kStatus, "status", "",
                "Shows a daemon and what it knows of the others."},
    CommandInfo{Command::kForecast, "forecast", "",
                "Forecasts next month's spending from the targets."},
    CommandInfo{Command::kSpending, "spending", "",
                "Shows the accelerator hours used and their price."},
    CommandInfo{Command::kTimeline, "timeline", "",
                "Merges the recent events of all the daemons given."},
    CommandInfo{Command::kDrain, "drain", "",
                "Stops one daemon without interrupting a request."},
    CommandInfo{Command::kResolve, "resolve", "CHANGE_ID",
                "Tells what became of a change."},
};

std::string Overview() {
  std::ostringstream text;
  text << "Usage: quetzalpostctl COMMAND [OPTION...]\n\nCommands:\n";
  for (const CommandInfo& info : kCommands) {
    const std::string call =
        std::string(info.name) + " " + std::string(info.argument);
    text << "  " << std::left << std::setw(20) << call << info.summary << '\n';
  }
  text
      << "\n\"quetzalpostctl COMMAND --help\" lists the options of a command.\n"
         "Exit codes: 0 ok, 2 usage, 3 refused, 4 unreachable, 5 unknown, "
         "6 pending.\n";
  return text.str();
}

Notice UsageError(const std::string& message) {
  return {ExitCode::kUsage, "error: " + message + "\n"};
}

cxxopts::Options MakeOptions(const CommandInfo& info) {
  cxxopts::Options options("quetzalpostctl " + std::string(info.name),
                           std::string(info.summary));
  options.add_options()(
      "daemon",
      "Operator address of a daemon, IP:port; repeat for more; else "
      "QUETZALPOST_DAEMON",
      cxxopts::value<std::vector<std::string>>())(
      "token-file", "File with the bearer token; else QUETZALPOST_TOKEN",
      cxxopts::value<std::string>()->default_value(""))(
      "json", "Print JSON for scripts")("h,help", "Print this help");
  if (info.command == Command::kApply) {
    options.add_options()(
        "expected-version",
        "Version that FILE is based on, 0 for the first; else its \"version\"",
        cxxopts::value<std::uint64_t>());
  }
  if (info.command == Command::kForecast) {
    options.add_options()("what-if",
                          "Forecast for the configuration in this file instead",
                          cxxopts::value<std::string>()->default_value(""));
  }
  if (info.command == Command::kTimeline) {
    options.add_options()("trace", "Write trace-viewer JSON to this file",
                          cxxopts::value<std::string>()->default_value(""));
  }
  if (!info.argument.empty()) {
    options.add_options("positional")("argument", "",
                                      cxxopts::value<std::string>());
    options.parse_positional({"argument"});
    options.positional_help(std::string(info.argument));
  }
  options.custom_help("[OPTION...]");
  return options;
}

std::string TextOr(const cxxopts::ParseResult& parsed, const char* name) {
  return parsed.count(name) > 0 ? parsed[name].as<std::string>() : "";
}

std::vector<std::string> DaemonsOf(
    const cxxopts::ParseResult& parsed,
    const std::vector<std::string>& default_daemons) {
  return parsed.count("daemon") > 0
             ? parsed["daemon"].as<std::vector<std::string>>()
             : default_daemons;
}

std::optional<std::string> MistakeIn(const CommandInfo& info,
                                     const cxxopts::ParseResult& parsed,
                                     const std::vector<std::string>& daemons) {
  if (!parsed.unmatched().empty()) {
    return "unexpected argument " + parsed.unmatched().front();
  }
  if (!info.argument.empty() && parsed.count("argument") == 0) {
    return std::string(info.argument) + " is missing";
  }
  if (daemons.empty()) {
    return "--daemon is missing and QUETZALPOST_DAEMON is not set";
  }
  if (info.command == Command::kDrain && daemons.size() != 1) {
    return "drain takes exactly one --daemon";
  }
  return std::nullopt;
}

CommandLine ToCommandLine(const CommandInfo& info,
                          const cxxopts::ParseResult& parsed,
                          std::vector<std::string> daemons) {
  CommandLine line;
  line.command = info.command;
  line.daemons = std::move(daemons);
  line.token_file = TextOr(parsed, "token-file");
  line.json = parsed.count("json") > 0;
  if (info.command == Command::kResolve) {
    line.change_id = TextOr(parsed, "argument");
  } else if (!info.argument.empty()) {
    line.file = TextOr(parsed, "argument");
  }
  if (info.command == Command::kApply) {
    if (parsed.count("expected-version") > 0) {
      line.expected_version = parsed["expected-version"].as<std::uint64_t>();
    }
  }
  if (info.command == Command::kForecast) {
    line.what_if_file = TextOr(parsed, "what-if");
  }
  if (info.command == Command::kTimeline) {
    line.trace_file = TextOr(parsed, "trace");
  }
  return line;
}

std::variant<CommandLine, Notice> ParseCommand(
    const CommandInfo& info, const std::vector<std::string>& arguments,
    const std::vector<std::string>& default_daemons) {
  std::vector<const char*> argv;
  argv.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  cxxopts::Options options = MakeOptions(info);
  try {
    const auto parsed =
        options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      return Notice{ExitCode::kOk, options.help({""})};
    }
    std::vector<std::string> daemons = DaemonsOf(parsed, default_daemons);
    if (const auto mistake = MistakeIn(info, parsed, daemons)) {
      return UsageError(*mistake);
    }
    return ToCommandLine(info, parsed, std::move(daemons));
  } catch (const cxxopts::exceptions::exception& failure) {
    return UsageError(failure.what());
  }
}

}  // namespace

std::variant<CommandLine, Notice> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const std::vector<std::string>& default_daemons) {
  if (arguments.empty()) {
    return Notice{ExitCode::kUsage, Overview()};
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h") {
    return Notice{ExitCode::kOk, Overview()};
  }
  const auto info =
      std::find_if(kCommands.begin(), kCommands.end(),
                   [&](const CommandInfo& item) { return item.name == name; });
  if (info == kCommands.end()) {
    return UsageError("unknown command " + name + "\n\n" + Overview());
  }
  return ParseCommand(*info, arguments, default_daemons);
}

}  // namespace qp::ctl
