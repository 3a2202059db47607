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

/// Engines that are interchangeable for throughput: same layer range, kind,
/// region and availability zone.
struct EngineGroup {
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.
  std::string region;
  std::string availability_zone;
  std::string kind;
  double layer_tokens_per_second = 0;  ///< Rate of one engine.
  std::vector<std::size_t> members;    ///< Indexes into the backends.

  Location location() const { return {this->region, this->availability_zone}; }

  /// Throughput of one engine that runs all layers it holds.
  double TokensPerSecond() const {
    return this->layer_tokens_per_second /
           (this->last_layer - this->first_layer + 1);
  }
};

/// A group that can run the next stage of a chain, and the flow to it.
struct GroupHop {
  std::size_t group = 0;
  double tokens_per_second = 0;
};

/// A maximum flow of tokens from the first to the last layer of a model.
struct PipelinePlan {
  double tokens_per_second = 0;  ///< Upper bound of the throughput.
  std::vector<EngineGroup> groups;
  std::vector<GroupHop> entries;  ///< Groups that hold layer 0.
  /// Possible next stages, by group; empty for groups that hold the last layer.
  std::vector<std::vector<GroupHop>> next;
};

/// Assumed time, in seconds, that an engine whose accelerator kind is not
/// configured takes to run one layer for a full batch.
inline constexpr double kDefaultLayerSeconds = 50e-6;

/// Parameters of the flow of a model, apart from its engines.
struct PipelineQuery {
  const ModelSpec& model;
  std::span<const AcceleratorKind> kinds;
  const LinkMap& links;
  /// Tightest target for the inter-token latency; 0 if there is none. Links
  /// that would use up too much of it are left out, unless no flow is possible
  /// without them.
  Duration inter_token_latency{};
};

/// Computes a maximum flow through layers, engines and links. Each engine runs
/// the layers from the one where it receives a token to its last one. Its
/// capacity is its rate for all layers it holds, so the flow is underestimated
/// where ranges overlap. Among maximum flows, the result is one that loads the
/// engines of each layer range as evenly as the search finds. `usable` holds
/// indexes into `backends`.
PipelinePlan PlanPipeline(std::span<const Backend> backends,
                          std::span<const std::size_t> usable,
                          const PipelineQuery& query);

/// The throughput bound of PlanPipeline alone, without balancing the flow.
double PipelineBound(std::span<const Backend> backends,
                     std::span<const std::size_t> usable,
                     const PipelineQuery& query);

}  // namespace qp::policy
