#pragma once

#include <optional>
#include <random>
#include <span>

#include "relay/server_choice.h"

namespace qp::relay {

/// Chooses engines for the layers that `lost` runs in `chain`; all others keep
/// their part, and with it the memory of the request.
///
/// Answers the load of a lost engine: all streams that ran through it need
/// room elsewhere at the same moment, and only for its layers.
/// Empty if `lost` is the first of the chain or has no part in it, or if no
/// engines with room cover its layers.
std::optional<Chain> RepairChain(const EngineProfile& profile,
                                 std::span<const ServerPtr> engines,
                                 const ChoiceQuery& query, const Chain& chain,
                                 const Server& lost, TimePoint now,
                                 std::mt19937_64& random);

}  // namespace qp::relay
