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

/// Layer range of a model that an engine must hold.
struct LayerAssignment {
  std::string engine;
  std::string model;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.

  bool operator==(const LayerAssignment&) const = default;
};

/// Combined targets of all request classes of one model.
struct ModelDemand {
  std::string model;
  double tokens_per_second = 0;
  /// Tightest inter-token latency target of the classes; 0 if none has one.
  Duration inter_token_latency{};
};

/// Input of a placement decision. Engines that are not routable are ignored.
struct PlacementInput {
  std::span<const Backend> engines;
  std::span<const ModelSpec> models;
  std::span<const AcceleratorKind> kinds;
  std::span<const ModelDemand> demands;
  LinkMap links;
};

/// Demand of a model in tokens per second, at least 1, so that a model without
/// demand stays placed where this costs other models nothing.
double DemandOf(const PlacementInput& input, std::string_view model);

/// Tightest target for the inter-token latency of a model; 0 if there is none.
Duration InterTokenLatencyOf(const PlacementInput& input,
                             std::string_view model);

/// Demands of all models of a configuration, in its order.
std::vector<ModelDemand> DemandsOf(const Configuration& configuration);

/// Number of layers of `model` that fit into the memory of an engine of `kind`
/// beside its KV cache; 0 if the kind is unknown.
std::uint32_t LayersThatFit(const ModelSpec& model, std::string_view kind,
                            std::span<const AcceleratorKind> kinds);

/// Maximum flow of one model with `assignments`, in tokens per second; an upper
/// bound of its throughput.
double FlowBound(const PlacementInput& input, const ModelSpec& model,
                 std::span<const LayerAssignment> assignments);

/// Sum of the maximum flows of all models, in tokens per second. The flow of a
/// model counts up to its demand plus a headroom.
double ServedTokensPerSecond(const PlacementInput& input,
                             std::span<const LayerAssignment> assignments);

/// Decides which layers each engine holds.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Returns at most one assignment per engine, ordered by engine.
  virtual std::vector<LayerAssignment> Assign(
      const PlacementInput& input) const = 0;
};

/// Baseline: divides each model into equal ranges that fit its smallest engine
/// and assigns these ranges to the engines in turn.
class EvenSplitPlacement : public PlacementPolicy {
 public:
  std::vector<LayerAssignment> Assign(
      const PlacementInput& input) const override;
};

/// Builds one placement per zone, one per region and one over all engines, each
/// with balanced capacities of the layers. Compares these and the even split,
/// keeps the placement with the greatest maximum flow, and improves it by
/// moving single engines. This is the method of Mei et al. (Helix, 2024) with a
/// local search in place of the integer program.
class FlowGuidedPlacement : public PlacementPolicy {
 public:
  std::vector<LayerAssignment> Assign(
      const PlacementInput& input) const override;
};

}  // namespace qp::policy
