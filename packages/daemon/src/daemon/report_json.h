#pragma once

#include <nlohmann/json_fwd.hpp>

#include "blackboard/views.h"

namespace qp {

nlohmann::json ToJson(const Member& member);
nlohmann::json ToJson(const Backend& backend);
nlohmann::json ToJson(const BudgetsView& budgets);

}  // namespace qp
