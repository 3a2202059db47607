#pragma once

#include <optional>
#include <string_view>

#include "cluster/observation.h"
#include "storage/vm_list.h"

namespace qp {

/// Path of the status of a backend server with the VM list's role.
std::string_view StatusTarget(std::string_view role);

/// Observation from a status answer; empty if the answer is malformed.
std::optional<Observation> ObservationOf(const Vm& vm, std::string_view body);

}  // namespace qp
