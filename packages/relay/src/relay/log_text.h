#pragma once

#include <optional>
#include <string>

#include "foundation/clock.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// Fields of log events.
std::string ChainText(const std::optional<Chain>& chain);
std::string MillisText(Duration duration);

}  // namespace qp::relay
