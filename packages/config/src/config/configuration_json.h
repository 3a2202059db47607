#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

#include "config/configuration.h"
#include "config/json_reader.h"
#include "foundation/error.h"

namespace qp {

/// JSON form of a configuration. Durations are in milliseconds, in members with
/// the suffix `_ms`.
nlohmann::json ToJson(const Configuration& configuration);

/// Parses and validates a configuration. Appends all mistakes found to
/// `mistakes`; the result is usable only if there are none.
Configuration ParseConfiguration(const nlohmann::json& document,
                                 std::vector<Mistake>& mistakes);

/// Fails with kInvalidArgument; the detail has one line for each mistake.
Result<Configuration> ParseConfiguration(std::string_view text);

}  // namespace qp
