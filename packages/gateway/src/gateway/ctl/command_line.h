#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gateway/ctl/exit_code.h"

namespace qp::ctl {

enum class Command {
  kApply,
  kGet,
  kHistory,
  kDiff,
  kStatus,
  kForecast,
  kSpending,
  kTimeline,
  kDrain,
  kResolve,
};

/// One call of quetzalpostctl, checked.
struct CommandLine {
  Command command = Command::kStatus;
  std::vector<std::string> daemons;  ///< Operator addresses, "IP:port".
  std::string token_file;            ///< Empty: take it from the environment.
  bool json = false;                 ///< JSON for scripts instead of tables.
  std::string file;                  ///< Configuration, for apply and diff.
  std::string what_if_file;          ///< For forecast; may be empty.
  std::string trace_file;            ///< For timeline; may be empty.
  std::string change_id;             ///< For resolve.
  std::optional<std::uint64_t> expected_version;  ///< For apply.
};

/// Text to show instead of running a command: help, or what is wrong.
struct Notice {
  ExitCode exit_code = ExitCode::kOk;
  std::string text;
};

/// Reads the arguments without the program's name. `default_daemons` are used
/// where no --daemon is given.
std::variant<CommandLine, Notice> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const std::vector<std::string>& default_daemons);

}  // namespace qp::ctl
