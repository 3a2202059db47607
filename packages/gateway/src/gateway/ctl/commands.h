#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

#include "gateway/ctl/command_line.h"
#include "gateway/ctl/exit_code.h"
#include "gateway/ctl/operator_transport.h"

namespace qp::ctl {

/// What a command works with.
struct Session {
  OperatorTransport& transport;
  std::ostream& out;     ///< The result.
  std::ostream& err;     ///< Errors and hints.
  std::uint64_t random;  ///< Makes change ids unique; differs by call.
};

/// Runs a command. Daemons are tried in the order given; a change is sent to
/// a further daemon only if nothing was sent to the one before.
ExitCode RunCommand(const CommandLine& line, Session& session);

}  // namespace qp::ctl
