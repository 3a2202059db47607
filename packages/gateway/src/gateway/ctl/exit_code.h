#pragma once

namespace qp::ctl {

/// Exit code of quetzalpostctl; scripts rely on the numbers.
enum class ExitCode {
  kOk = 0,
  kUsage = 2,
  kRefused = 3,      ///< The daemon answered and declined.
  kUnreachable = 4,  ///< No daemon, or not the platform behind it, answered.
  kUnknown = 5,      ///< The request may have taken effect.
  kPending = 6,      ///< Accepted, and not yet in force everywhere.
};

}  // namespace qp::ctl
