#pragma once

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>

#include "blackboard/views.h"
#include "config/configuration.h"
#include "storage/usage_store.h"

namespace qp {

/// Forecast of next month's spending from the targets of `configuration` on
/// the engines that run now, with what falls short. Money is in the price
/// sheet's currency.
nlohmann::json ForecastReport(const Configuration& configuration,
                              const BackendsView& backends);

/// As above for `what_if`, with the difference to `configuration`.
nlohmann::json WhatIfReport(const Configuration& configuration,
                            const Configuration& what_if,
                            const BackendsView& backends);

/// Spending of `month` so far beside the forecast of a whole month.
nlohmann::json SpendingReport(const Configuration& configuration,
                              const BackendsView& backends,
                              const std::string& month,
                              std::span<const UsedHours> used);

}  // namespace qp
