#pragma once

#include <optional>
#include <span>
#include <string>

#include "foundation/clock.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// Formats a chain as "ID=FIRST-END" for each stage, separated by blanks.
/// Returns an empty string if there is no chain.
std::string FormatChain(const std::optional<Chain>& chain);
/// Formats the ids of prompt parts, separated by blanks. Long ids are truncated
/// and the end of a long list is replaced by the number of ids left out, so
/// that callers cannot make log lines long.
std::string FormatParts(std::span<const std::string> parts);
/// Formats a duration as whole milliseconds, without a unit.
std::string FormatMillis(Duration duration);

}  // namespace qp::relay
