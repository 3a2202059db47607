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

/// State of an engine that a plan starts from.
struct PlannedEngine {
  std::string id;
  std::string availability_zone;
  std::string accelerator;
  LayerRange layers;     ///< Layers held or ordered; empty if none.
  bool movable = false;  ///< Can be ordered to hold other layers.
};

/// Most request tokens for which an engine reserves memory: about a hundred
/// requests of the usual size. With a hundred requests, a step takes about
/// twice as long as with one request.
inline constexpr double kMaxKvTokens = 100'000;
/// Fewest request tokens for which an engine reserves memory: about forty
/// requests of the usual size.
inline constexpr double kMinKvTokens = 36'000;
/// Number of copies of the model in a zone up to which layers take precedence
/// over memory for requests. With two copies, other engines still hold all
/// layers of an engine that is lost.
inline constexpr double kTargetReplicas = 2.0;

/// Assigns layers so that each availability zone covers the whole model as
/// evenly as its accelerators allow, because activations between zones share a
/// link with little bandwidth. Beyond kTargetReplicas copies of the model, an
/// accelerator keeps its memory for requests: the fewer layers the engines of a
/// zone hold, the more requests the zone can run.
///
/// Each empty engine gets the least covered range. If a range is uncovered
/// after that, one engine whose layers other engines also hold is ordered to
/// hold that range instead. All other engines keep their layers, because
/// loading layers takes time.
///
/// An engine whose range the model lacks, for example because the entry is
/// older than the profile, counts as one without layers.
///
/// The plan is meant for peak load, at which memory for requests runs out
/// before compute; the load itself is not an input.
std::vector<LayerOrder> PlanLayers(const EngineProfile& profile,
                                   std::span<const PlannedEngine> engines);

}  // namespace qp::relay
