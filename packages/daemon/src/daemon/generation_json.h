#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "policy/budget_ledger.h"

namespace qp {

/// Table item of a budget generation.
nlohmann::json ToJson(const policy::BudgetGeneration& generation);

/// Empty if the value is malformed.
std::optional<policy::BudgetGeneration> GenerationOf(
    const nlohmann::json& value);

}  // namespace qp
