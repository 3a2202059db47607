#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "admission/service_admission.h"
#include "relay/deployment.h"
#include "relay/server.h"

namespace qp::relay {

/// How the load of processes counts that this process has no current report of.
struct LoadAssumptions {
  /// Processes of the zone other than this one. Each is assumed to have sent as
  /// much as this process since the last reports.
  double peer_count = 0;
  /// Processes of the zone that have not reported lately. Each is assumed to
  /// have the mean load of the others.
  double silent_peer_count = 0;

  /// Whether reports of at least half of the zone's processes are current.
  /// Otherwise its load is not known well enough to refuse a request for it.
  bool IsLoadKnown() const {
    return this->silent_peer_count <= this->peer_count / 2;
  }
};

/// Estimates the room of each zone whose engines together hold all layers.
/// Engines that have failed count neither as capacity nor as load.
std::vector<admission::ZoneRoom> EstimateZoneRooms(
    const EngineProfile& profile, std::span<const ServerPtr> engines,
    std::string_view own_zone, const LoadAssumptions& assumptions,
    TimePoint now);

}  // namespace qp::relay
