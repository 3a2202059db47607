#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "blackboard/views.h"
#include "config/configuration.h"
#include "policy/link_map.h"

namespace qp::policy {

/// Layers of a model that an engine is to hold.
struct LayerAssignment {
  std::string engine;
  std::string model;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.

  bool operator==(const LayerAssignment&) const = default;
};

struct ModelDemand {
  std::string model;
  double tokens_per_second = 0;  ///< Sum of the targets of its classes.
  /// Tightest target of its classes; 0 if there is none.
  Duration inter_token_latency{};
};

/// What a placement is decided from. Engines that are not routable are left
/// out.
struct PlacementInput {
  std::span<const Backend> engines;
  std::span<const ModelSpec> models;
  std::span<const AcceleratorKind> kinds;
  std::span<const ModelDemand> demands;
  LinkMap links;
};

/// Demand of a model, at least 1 token/s, so that a model without demand stays
/// placed where that costs no other model anything.
double DemandOf(const PlacementInput& input, std::string_view model);

/// Tightest target between tokens of a model; 0 if there is none.
Duration InterTokenLatencyOf(const PlacementInput& input,
                             std::string_view model);

/// Demands of all classes of a configuration, by model.
std::vector<ModelDemand> DemandsOf(const Configuration& configuration);

/// Layers of `model` that fit an engine of `kind`, with room left for the KV
/// cache. 0 if the kind is unknown.
std::uint32_t LayersThatFit(const ModelSpec& model, std::string_view kind,
                            std::span<const AcceleratorKind> kinds);

/// Maximum flow of one model under `assignments`, tokens per second.
double FlowBound(const PlacementInput& input, const ModelSpec& model,
                 std::span<const LayerAssignment> assignments);

/// Sum over the models of the flow that meets demand, with some headroom.
double ServedTokens(const PlacementInput& input,
                    std::span<const LayerAssignment> assignments);

/// Decides which engine holds which layers.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// At most one assignment per engine, ordered by engine.
  virtual std::vector<LayerAssignment> Assign(
      const PlacementInput& input) const = 0;
};

/// Baseline: equal ranges that fit the smallest engine, dealt out in turn.
class EvenSplitPlacement : public PlacementPolicy {
 public:
  std::vector<LayerAssignment> Assign(
      const PlacementInput& input) const override;
};

/// Builds placements per zone, per region and over all engines, each with the
/// capacity of all layers levelled, keeps the one with the greatest maximum
/// flow and improves it by single moves (method of Mei et al., Helix, 2024,
/// with local search in place of the integer program).
class FlowGuidedPlacement : public PlacementPolicy {
 public:
  std::vector<LayerAssignment> Assign(
      const PlacementInput& input) const override;
};

}  // namespace qp::policy
