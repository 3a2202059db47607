#pragma once

#include <cstddef>
#include <vector>

#include "blackboard/views.h"
#include "config/configuration.h"
#include "policy/placement_policy.h"

namespace qp::bench {

/// Targets of the model's class.
inline constexpr Duration kFirstToken = std::chrono::milliseconds(320);
inline constexpr Duration kBetweenTokens = std::chrono::milliseconds(66);

/// Engines of four kinds over three availability zones in two regions, whose
/// links differ by a factor of 100 (LinkMap's assumed links), and one model.
struct Fleet {
  std::vector<ModelSpec> models;
  std::vector<AcceleratorKind> kinds;
  std::vector<policy::ModelDemand> demands;
  BackendsView view;

  policy::PlacementInput Input() const;
  const ModelSpec& model() const { return this->models.front(); }
};

/// `size` engines without layers.
Fleet MakeFleet(std::size_t size);

/// Gives the engines the layers that the policy assigns, and slots such that
/// full engines keep the target between tokens. Returns the flow bound,
/// tokens per second.
double Place(Fleet& fleet, const policy::PlacementPolicy& policy);

/// Flow bound of the placed engines over all links, tokens per second.
double BoundAtAnyLatency(const Fleet& fleet);

}  // namespace qp::bench
