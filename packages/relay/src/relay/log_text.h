#pragma once

#include <optional>
#include <string>

#include "foundation/clock.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// Formats a chain as "ID=FIRST-END" for each stage, separated by blanks.
/// Returns an empty string if there is no chain.
std::string FormatChain(const std::optional<Chain>& chain);
/// Formats a duration as whole milliseconds, without a unit.
std::string FormatMillis(Duration duration);

}  // namespace qp::relay
