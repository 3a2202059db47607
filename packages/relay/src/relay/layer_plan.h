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

/// Tokens of requests that each engine keeps memory for, at most: some hundred
/// requests of the usual size. With that many, a step takes about twice as long
/// as with one.
inline constexpr double kMaxKvTokens = 100'000;
/// The same at least: some forty requests of the usual size.
inline constexpr double kMinKvTokens = 36'000;
/// Copies of the model in a zone for which memory for requests is given up, so
/// that the loss of an engine leaves no layer without one.
inline constexpr double kTargetReplicas = 2.0;

/// Chooses layers so that each availability zone covers the whole model, as
/// evenly as its cards allow: activations between zones share a narrow pipe.
/// Beyond the wanted copies of the model, cards keep their memory for requests,
/// of which a zone can carry more the fewer layers it holds. Each empty engine
/// takes the least covered range; if a range is covered by nobody and no engine
/// is empty, an engine whose layers others hold as well moves there. Engines
/// that hold layers are otherwise left alone, since every load costs time.
///
/// Answers the load of a busy hour, at which memory for requests runs out
/// before the cards' speed does; the load itself is no input.
std::vector<LayerOrder> PlanLayers(const EngineProfile& profile,
                                   std::span<const PlannedEngine> engines);

}  // namespace qp::relay
