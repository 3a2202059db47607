#pragma once

#include <optional>
#include <random>
#include <span>

#include "relay/server_choice.h"

namespace qp::relay {

/// Chooses other engines for the layers that `lost` runs in `chain`. All other
/// engines keep their layers, and with them their KV cache of the request.
///
/// When an engine is lost, all streams that ran through it need memory on other
/// engines at the same moment. Replacing only the lost engine limits the needed
/// memory to the layers of that engine.
///
/// Empty if `lost` is the first engine of `chain` or not part of `chain`, or if
/// no engines with enough memory cover the layers that `lost` runs.
std::optional<Chain> RepairChain(const EngineProfile& profile,
                                 std::span<const ServerPtr> engines,
                                 const ChoiceQuery& query, const Chain& chain,
                                 const Server& lost, TimePoint now,
                                 std::mt19937_64& random);

}  // namespace qp::relay
