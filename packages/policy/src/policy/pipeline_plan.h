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

/// Engines that are alike for throughput: same layers, kind and zone.
struct EngineGroup {
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.
  std::string region;
  std::string availability_zone;
  std::string kind;
  double layer_tokens_per_second = 0;  ///< Of one engine.
  std::vector<std::size_t> members;    ///< Indexes into the engines given.

  Location location() const { return {this->region, this->availability_zone}; }

  /// Of one engine that runs all layers it holds.
  double TokensPerSecond() const {
    return this->layer_tokens_per_second /
           (this->last_layer - this->first_layer + 1);
  }
};

/// Where the next stage of a chain runs, and how much of the flow goes there.
struct GroupHop {
  std::size_t group = 0;
  double tokens_per_second = 0;
};

/// Maximum flow of tokens from the first to the last layer.
struct PipelinePlan {
  double tokens_per_second = 0;  ///< The throughput bound.
  std::vector<EngineGroup> groups;
  std::vector<GroupHop> entries;            ///< Groups that hold layer 0.
  std::vector<std::vector<GroupHop>> next;  ///< By group; empty at the end.
};

/// Assumed time of one layer for a full batch on an engine whose accelerator
/// kind is not configured.
inline constexpr double kDefaultLayerSeconds = 50e-6;

/// What the flow of a model runs through, apart from the engines.
struct PipelineQuery {
  const ModelSpec& model;
  std::span<const AcceleratorKind> kinds;
  const LinkMap& links;
  /// Tightest target between tokens; 0 if there is none. Links that would use
  /// up too much of it are left out, unless no flow is possible without them.
  Duration inter_token_latency{};
};

/// Maximum flow through layers, engines and links, each engine running from
/// the layer where it receives a token to its last one. An engine's capacity
/// is its rate for all layers it holds, so where ranges overlap the flow is a
/// lower estimate. Among maximum flows, one that loads the engines of each
/// layer range evenly. `usable` selects from `backends`.
PipelinePlan PlanPipeline(std::span<const Backend> backends,
                          std::span<const std::size_t> usable,
                          const PipelineQuery& query);

/// The bound alone, without the evened out flow.
double PipelineBound(std::span<const Backend> backends,
                     std::span<const std::size_t> usable,
                     const PipelineQuery& query);

}  // namespace qp::policy
