#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

/// What a caller is told of its request.
enum class Outcome {
  kComplete,  ///< The whole answer was delivered.
  kNotRun,    ///< Provably never started.
  kUnknown,   ///< It may have run, wholly or in part.
};

/// Value of the header Quetzalpost-Outcome.
std::string_view ToString(Outcome outcome);

/// End of a request.
struct CallResult {
  Outcome outcome = Outcome::kUnknown;
  std::optional<Error> error;           ///< Set unless kComplete.
  std::optional<Duration> retry_after;  ///< When to come back, with kNotRun.
};

}  // namespace qp
