#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

#include "config/configuration.h"
#include "config/json_reader.h"
#include "foundation/error.h"

namespace qp {

/// JSON form of a configuration; times are whole milliseconds with the suffix
/// `_ms`.
nlohmann::json ToJson(const Configuration& configuration);

/// Reads a configuration and checks it whole. `mistakes` receives every
/// mistake; the result is usable only if there is none.
Configuration ParseConfiguration(const nlohmann::json& document,
                                 std::vector<Mistake>& mistakes);

/// As above; kInvalidArgument with all mistakes as its detail.
Result<Configuration> ParseConfiguration(std::string_view text);

}  // namespace qp
