#pragma once

#include <optional>
#include <string>

#include "foundation/clock.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// Fields of log events.
std::string FormatChain(const std::optional<Chain>& chain);
std::string FormatMillis(Duration duration);

}  // namespace qp::relay
