#pragma once

#include <span>
#include <string>
#include <vector>

#include "relay/deployment.h"

namespace qp::relay {

/// Order for one engine to hold a range of layers.
struct LayerOrder {
  std::string engine;
  LayerRange layers;

  bool operator==(const LayerOrder&) const = default;
};

/// An engine as the planner sees it.
struct PlannedEngine {
  std::string id;
  std::string availability_zone;
  std::string accelerator;
  LayerRange layers;     ///< Held or ordered; empty if none.
  bool movable = false;  ///< May give its layers up for others.
};

/// Tokens of requests that each engine keeps memory for. About forty requests
/// of the mean size, which lets every card of the configured kinds hold some
/// tenth of the layers and still leaves two copies of the model in a zone.
inline constexpr double kPlannedKvTokens = 36'000;

/// Chooses layers so that each availability zone covers the whole model, as
/// evenly and as often as its cards allow: activations between zones share a
/// narrow pipe. Each empty engine takes the least covered range; if a range is
/// covered by nobody and no engine is empty, an engine whose layers others
/// hold as well moves there. Engines that hold layers are otherwise left
/// alone, since every load costs time.
///
/// Answers any load that the zones can carry; the load itself is no input.
std::vector<LayerOrder> PlanLayers(const EngineProfile& profile,
                                   std::span<const PlannedEngine> engines);

}  // namespace qp::relay
