#pragma once

#include <nlohmann/json_fwd.hpp>
#include <span>

#include "blackboard/views.h"
#include "foundation/event.h"

namespace qp {

nlohmann::json ToJson(const Member& member);
nlohmann::json ToJson(const Backend& backend);
nlohmann::json ToJson(const BudgetsView& budgets);

/// Array of events with number, name, node, stamp and fields.
nlohmann::json ToJson(std::span<const Event> events);

}  // namespace qp
