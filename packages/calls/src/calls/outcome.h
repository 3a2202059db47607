#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

/// Outcome of a request as reported to its caller.
enum class Outcome {
  kComplete,  ///< The whole response was delivered.
  kNotRun,    ///< The request provably never started.
  kUnknown,   ///< The request may have run, wholly or in part.
};

/// Value of the header Quetzalpost-Outcome.
std::string_view ToString(Outcome outcome);

/// Outcome of a request with its error.
struct CallResult {
  Outcome outcome = Outcome::kUnknown;
  std::optional<Error> error;           ///< Set unless kComplete.
  std::optional<Duration> retry_after;  ///< Advised wait before a retry.
};

}  // namespace qp
