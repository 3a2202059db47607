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
/// Number of ids that a log line lists by default.
constexpr std::size_t kMaxLoggedParts = 8;
/// Formats the ids of prompt parts, separated by blanks. Long ids are truncated
/// and ids after `max_parts` are replaced by their number, so that callers
/// cannot make log lines long.
std::string FormatParts(std::span<const std::string> parts,
                        std::size_t max_parts = kMaxLoggedParts);
/// Formats a share with two decimals.
std::string FormatShare(double share);
/// Formats a duration as whole milliseconds, without a unit.
std::string FormatMillis(Duration duration);

}  // namespace qp::relay
