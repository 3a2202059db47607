#include "policy/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <tuple>

#include "policy/pipeline_plan.h"

namespace qp::policy {

namespace {

/// Indexes into PlacementInput::engines.
using Engines = std::vector<std::size_t>;

/// Fraction of an accelerator's memory for weights; the rest holds the KV
/// cache.
constexpr double kWeightsFraction = 0.7;
/// Maximum flow of a model that counts as served, as a multiple of its demand.
/// Above 1, so that the placement has capacity for short bursts.
constexpr double kHeadroom = 1.25;
/// Maximum number of flow evaluations in the local search for one model.
constexpr int kMaxEvaluations = 150;
/// Factor by which a move of the local search must increase the flow.
constexpr double kMinImprovementFactor = 1.001;
/// Number of rounds of CapacityBalancer. Each round places all engines of a
/// cluster again.
constexpr int kBalancingRounds = 3;

const AcceleratorKind* FindKind(std::span<const AcceleratorKind> kinds,
                                std::string_view name) {
  const auto found =
      std::find_if(kinds.begin(), kinds.end(),
                   [&](const auto& kind) { return kind.name == name; });
  return found == kinds.end() ? nullptr : &*found;
}

const ModelDemand* FindDemand(const PlacementInput& input,
                              std::string_view model) {
  const auto found =
      std::find_if(input.demands.begin(), input.demands.end(),
                   [&](const auto& demand) { return demand.model == model; });
  return found == input.demands.end() ? nullptr : &*found;
}

Engines UsableEngines(const PlacementInput& input) {
  Engines usable;
  for (std::size_t i = 0; i < input.engines.size(); ++i) {
    if (input.engines[i].role == BackendRole::kEngine &&
        input.engines[i].IsRoutable()) {
      usable.push_back(i);
    }
  }
  return usable;
}

std::uint32_t FittingLayers(const PlacementInput& input, const ModelSpec& model,
                            std::size_t engine) {
  return LayersThatFit(model, input.engines[engine].kind, input.kinds);
}

/// Rate of an engine, in layers times tokens per second; 0 if its kind is
/// unknown.
double LayerRate(const PlacementInput& input, std::size_t engine) {
  const auto* kind = FindKind(input.kinds, input.engines[engine].kind);
  return kind == nullptr ? 0 : kind->layer_tokens_per_second;
}

/// Divides the engines among the models in proportion to demand times layers.
/// Engines of the same zone and kind are assigned one after the other, so that
/// each model receives some of them.
std::vector<Engines> DivideAmongModels(const PlacementInput& input) {
  Engines engines = UsableEngines(input);
  std::sort(engines.begin(), engines.end(), [&](auto left, auto right) {
    const auto& a = input.engines[left];
    const auto& b = input.engines[right];
    return std::tie(a.region, a.availability_zone, a.kind, a.name) <
           std::tie(b.region, b.availability_zone, b.kind, b.name);
  });
  std::vector<Engines> result(input.models.size());
  std::vector<double> assigned_rate(input.models.size());
  for (const auto engine : engines) {
    std::optional<std::size_t> least_supplied;
    double min_supply = 0;
    for (std::size_t m = 0; m < input.models.size(); ++m) {
      const ModelSpec& model = input.models[m];
      const double required_rate = DemandOf(input, model.name) * model.layers;
      const double supply = assigned_rate[m] / required_rate;
      if (FittingLayers(input, model, engine) > 0 &&
          (!least_supplied || supply < min_supply)) {
        least_supplied = m;
        min_supply = supply;
      }
    }
    if (least_supplied) {
      result[*least_supplied].push_back(engine);
      assigned_rate[*least_supplied] += LayerRate(input, engine);
    }
  }
  return result;
}

/// `end` is exclusive.
LayerAssignment MakeAssignment(const PlacementInput& input, std::size_t engine,
                               const ModelSpec& model, std::uint32_t first,
                               std::uint32_t end) {
  return {input.engines[engine].name, model.name, first, end - 1};
}

/// Returns the `count` + 1 boundaries of `count` nearly equal ranges of layers.
std::vector<std::uint32_t> EvenBoundaries(std::uint32_t layers,
                                          std::uint32_t count) {
  std::vector<std::uint32_t> boundaries;
  boundaries.reserve(count + 1);
  for (std::uint32_t i = 0; i <= count; ++i) {
    boundaries.push_back(
        static_cast<std::uint32_t>(std::uint64_t{layers} * i / count));
  }
  return boundaries;
}

/// Layers that fit the smallest of `engines`; at least 1.
std::uint32_t MinFittingLayers(const PlacementInput& input,
                               const ModelSpec& model, const Engines& engines) {
  std::uint32_t smallest = model.layers;
  for (const auto engine : engines) {
    smallest = std::min(smallest, FittingLayers(input, model, engine));
  }
  return std::max<std::uint32_t>(smallest, 1);
}

/// Balances the capacity of all layers over a cluster of engines. Places each
/// engine, the fastest first, on the range where it increases a concave utility
/// of the layers' capacities most, in kBalancingRounds rounds.
class CapacityBalancer {
 public:
  CapacityBalancer(const PlacementInput& input, const ModelSpec& model,
                   const Engines& engines)
      : input(input), model(model), engines(engines) {
    const std::uint32_t smallest = MinFittingLayers(input, model, engines);
    this->boundaries =
        EvenBoundaries(model.layers, (model.layers + smallest - 1) / smallest);
    this->capacity.assign(this->boundaries.size() - 1, 0);
    for (const auto engine : engines) {
      this->mean_capacity += LayerRate(input, engine) / model.layers;
    }
    std::stable_sort(this->engines.begin(), this->engines.end(),
                     [&](auto left, auto right) {
                       return LayerRate(input, left) > LayerRate(input, right);
                     });
  }

  std::vector<LayerAssignment> Run() {
    std::vector<std::optional<Range>> ranges(this->engines.size());
    for (int round = 0; round < kBalancingRounds; ++round) {
      for (std::size_t i = 0; i < this->engines.size(); ++i) {
        if (ranges[i]) {
          this->AddCapacity(*ranges[i],
                            -LayerRate(this->input, this->engines[i]));
        }
        ranges[i] = this->FindBestRange(this->engines[i]);
        if (ranges[i]) {
          this->AddCapacity(*ranges[i],
                            LayerRate(this->input, this->engines[i]));
        }
      }
    }
    std::vector<LayerAssignment> result;
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      if (ranges[i]) {
        result.push_back(MakeAssignment(this->input, this->engines[i],
                                        this->model,
                                        this->boundaries[ranges[i]->first],
                                        this->boundaries[ranges[i]->end]));
      }
    }
    return result;
  }

 private:
  struct Range {
    std::size_t first = 0;  ///< Segment between two adjacent boundaries.
    std::size_t end = 0;    ///< Exclusive.
  };

  double LayersOf(const Range& range) const {
    return this->boundaries[range.end] - this->boundaries[range.first];
  }

  void AddCapacity(const Range& range, double rate) {
    for (std::size_t segment = range.first; segment < range.end; ++segment) {
      this->capacity[segment] += rate / this->LayersOf(range);
    }
  }

  /// Utility of a segment's capacity. It rises steeply while the
  /// capacity is far below the mean, so that segments with scarce capacity are
  /// preferred.
  double Utility(std::size_t segment, double tokens_per_second) const {
    constexpr double kSteepness = 0.05;
    return -this->LayersOf({segment, segment + 1}) /
           (std::max(tokens_per_second, 0.0) / this->mean_capacity +
            kSteepness);
  }

  std::optional<Range> FindBestRange(std::size_t engine) const {
    const std::uint32_t max_layers =
        FittingLayers(this->input, this->model, engine);
    const double rate = LayerRate(this->input, engine);
    std::optional<Range> best;
    double best_gain = 0;
    for (std::size_t first = 0; first < this->capacity.size(); ++first) {
      for (std::size_t end = first + 1; end <= this->capacity.size(); ++end) {
        const Range range{first, end};
        if (this->LayersOf(range) > max_layers) {
          break;
        }
        double gain = 0;
        for (std::size_t segment = first; segment < end; ++segment) {
          gain += this->Utility(segment, this->capacity[segment] +
                                             rate / this->LayersOf(range)) -
                  this->Utility(segment, this->capacity[segment]);
        }
        // Among ranges with nearly equal gain, the longest is preferred,
        // because longer ranges make chains with fewer hops.
        if (!best || gain >= best_gain * 0.999) {
          best = range;
          best_gain = std::max(gain, best_gain);
        }
      }
    }
    return best;
  }

  const PlacementInput& input;
  const ModelSpec& model;
  Engines engines;
  std::vector<std::uint32_t> boundaries;
  std::vector<double> capacity;  ///< Tokens per second, by segment.
  double mean_capacity = 0;      ///< Tokens per second, per layer.
};

using ClusterKey =
    std::function<std::pair<std::string, std::string>(const Backend&)>;

/// Groups engines with equal keys. A cluster that is too small to hold the
/// model is merged into the cluster with the fastest link to it.
std::vector<Engines> ClusterEngines(const PlacementInput& input,
                                    const ModelSpec& model,
                                    const Engines& engines,
                                    const ClusterKey& key) {
  std::map<std::pair<std::string, std::string>, Engines> by_key;
  for (const auto engine : engines) {
    by_key[key(input.engines[engine])].push_back(engine);
  }
  std::vector<Engines> clusters;
  clusters.reserve(by_key.size());
  for (auto& [name, members] : by_key) {
    clusters.push_back(std::move(members));
  }
  const auto holds_model = [&](const Engines& members) {
    std::uint64_t max_layers = 0;
    for (const auto engine : members) {
      max_layers += FittingLayers(input, model, engine);
    }
    return max_layers >= model.layers;
  };
  const auto bandwidth_between = [&](const Engines& a, const Engines& b) {
    const Backend& left = input.engines[a.front()];
    const Backend& right = input.engines[b.front()];
    return input.links
        .Between({left.region, left.availability_zone},
                 {right.region, right.availability_zone})
        .bytes_per_second;
  };
  for (;;) {
    const auto too_small =
        std::find_if_not(clusters.begin(), clusters.end(), holds_model);
    if (too_small == clusters.end() || clusters.size() == 1) {
      return clusters;
    }
    Engines moved = std::move(*too_small);
    clusters.erase(too_small);
    const auto nearest = std::max_element(
        clusters.begin(), clusters.end(), [&](const auto& a, const auto& b) {
          return bandwidth_between(moved, a) < bandwidth_between(moved, b);
        });
    nearest->insert(nearest->end(), moved.begin(), moved.end());
  }
}

std::vector<LayerAssignment> BalanceClusters(
    const PlacementInput& input, const ModelSpec& model,
    const std::vector<Engines>& clusters) {
  std::vector<LayerAssignment> result;
  for (const auto& cluster : clusters) {
    const auto part = CapacityBalancer(input, model, cluster).Run();
    result.insert(result.end(), part.begin(), part.end());
  }
  return result;
}

std::vector<LayerAssignment> SplitEvenly(const PlacementInput& input,
                                         const ModelSpec& model,
                                         const Engines& engines) {
  const std::uint32_t smallest = MinFittingLayers(input, model, engines);
  const std::uint32_t stages = (model.layers + smallest - 1) / smallest;
  const auto boundaries = EvenBoundaries(model.layers, stages);
  std::vector<LayerAssignment> result;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const std::size_t stage = i % stages;
    result.push_back(MakeAssignment(input, engines[i], model, boundaries[stage],
                                    boundaries[stage + 1]));
  }
  return result;
}

/// Moves single engines to ranges that other engines hold as long as the flow
/// grows, with at most kMaxEvaluations evaluations.
class LocalSearch {
 public:
  LocalSearch(const PlacementInput& input, const ModelSpec& model,
              std::vector<LayerAssignment> start)
      : input(input),
        model(model),
        assignments(std::move(start)),
        flow_bound(FlowBound(input, model, this->assignments)) {
    for (const auto& engine : input.engines) {
      this->by_name.emplace(engine.name, &engine);
    }
  }

  std::vector<LayerAssignment> Run() {
    while (this->evaluations < kMaxEvaluations && this->Improve()) {
    }
    return std::move(this->assignments);
  }

 private:
  using Range = std::pair<std::uint32_t, std::uint32_t>;

  bool Improve() {
    std::set<Range> ranges;
    for (const auto& item : this->assignments) {
      ranges.emplace(item.first_layer, item.last_layer);
    }
    // Engines with the same kind, zone and range are interchangeable, so only
    // one of them is tried.
    std::set<std::tuple<std::string, std::string, Range>> tried;
    for (auto& item : this->assignments) {
      const Backend& engine = *this->by_name.at(item.engine);
      const Range before{item.first_layer, item.last_layer};
      if (!tried.emplace(engine.kind, engine.availability_zone, before)
               .second) {
        continue;
      }
      for (const auto& range : ranges) {
        if (range != before && this->TryRange(item, range)) {
          return true;
        }
      }
    }
    return false;
  }

  bool TryRange(LayerAssignment& item, const Range& range) {
    const Backend& engine = *this->by_name.at(item.engine);
    const bool fits =
        range.second - range.first <
        LayersThatFit(this->model, engine.kind, this->input.kinds);
    if (!fits || this->evaluations >= kMaxEvaluations) {
      return false;
    }
    const Range before{item.first_layer, item.last_layer};
    std::tie(item.first_layer, item.last_layer) = range;
    ++this->evaluations;
    const double changed =
        FlowBound(this->input, this->model, this->assignments);
    if (changed > this->flow_bound * kMinImprovementFactor) {
      this->flow_bound = changed;
      return true;
    }
    std::tie(item.first_layer, item.last_layer) = before;
    return false;
  }

  const PlacementInput& input;
  const ModelSpec& model;
  std::vector<LayerAssignment> assignments;
  double flow_bound = 0;
  int evaluations = 0;
  std::map<std::string_view, const Backend*> by_name;
};

std::vector<LayerAssignment> PlaceByFlow(const PlacementInput& input,
                                         const ModelSpec& model,
                                         const Engines& engines) {
  const ClusterKey zone = [](const Backend& engine) {
    return std::pair(engine.region, engine.availability_zone);
  };
  const ClusterKey region = [](const Backend& engine) {
    return std::pair(engine.region, std::string());
  };
  const ClusterKey all = [](const Backend&) {
    return std::pair<std::string, std::string>();
  };
  std::vector<LayerAssignment> best = SplitEvenly(input, model, engines);
  double best_bound = FlowBound(input, model, best);
  for (const auto& key : {zone, region, all}) {
    auto candidate = BalanceClusters(
        input, model, ClusterEngines(input, model, engines, key));
    const double bound = FlowBound(input, model, candidate);
    if (bound > best_bound) {
      best_bound = bound;
      best = std::move(candidate);
    }
  }
  return LocalSearch(input, model, std::move(best)).Run();
}

using ModelPlacer = std::vector<LayerAssignment> (*)(const PlacementInput&,
                                                     const ModelSpec&,
                                                     const Engines&);

std::vector<LayerAssignment> PlaceModels(const PlacementInput& input,
                                         ModelPlacer place) {
  std::vector<LayerAssignment> result;
  const auto divided = DivideAmongModels(input);
  for (std::size_t m = 0; m < input.models.size(); ++m) {
    if (!divided[m].empty()) {
      const auto part = place(input, input.models[m], divided[m]);
      result.insert(result.end(), part.begin(), part.end());
    }
  }
  std::sort(result.begin(), result.end(),
            [](const auto& a, const auto& b) { return a.engine < b.engine; });
  return result;
}

}  // namespace

double DemandOf(const PlacementInput& input, std::string_view model) {
  const auto* demand = FindDemand(input, model);
  return demand == nullptr ? 1 : std::max(demand->tokens_per_second, 1.0);
}

Duration InterTokenLatencyOf(const PlacementInput& input,
                             std::string_view model) {
  const auto* demand = FindDemand(input, model);
  return demand == nullptr ? Duration::zero() : demand->inter_token_latency;
}

namespace {

void AddTarget(ModelDemand& demand, const Target& target) {
  demand.tokens_per_second += target.tokens_per_second;
  const bool tighter = demand.inter_token_latency <= Duration::zero() ||
                       target.between_tokens < demand.inter_token_latency;
  if (target.between_tokens > Duration::zero() && tighter) {
    demand.inter_token_latency = target.between_tokens;
  }
}

}  // namespace

std::vector<ModelDemand> DemandsOf(const Configuration& configuration) {
  std::vector<ModelDemand> demands;
  for (const auto& model : configuration.models) {
    ModelDemand demand{model.name, 0, Duration::zero()};
    for (const auto& request_class : configuration.classes) {
      if (request_class.model == model.name) {
        AddTarget(demand, request_class.target);
      }
    }
    demands.push_back(std::move(demand));
  }
  return demands;
}

std::uint32_t LayersThatFit(const ModelSpec& model, std::string_view kind,
                            std::span<const AcceleratorKind> kinds) {
  const auto* found = FindKind(kinds, kind);
  if (found == nullptr) {
    return 0;
  }
  const double layers = kWeightsFraction *
                        static_cast<double>(found->memory_bytes) /
                        std::max<double>(model.layer_bytes, 1);
  return static_cast<std::uint32_t>(std::min<double>(layers, model.layers));
}

double FlowBound(const PlacementInput& input, const ModelSpec& model,
                 std::span<const LayerAssignment> assignments) {
  std::map<std::string_view, const LayerAssignment*> by_engine;
  for (const auto& assignment : assignments) {
    if (assignment.model == model.name) {
      by_engine.emplace(assignment.engine, &assignment);
    }
  }
  std::vector<Backend> engines;
  for (const auto& engine : input.engines) {
    const auto found = by_engine.find(engine.name);
    if (found != by_engine.end() && engine.IsRoutable()) {
      engines.push_back(engine);
      engines.back().first_layer = found->second->first_layer;
      engines.back().last_layer = found->second->last_layer;
    }
  }
  std::vector<std::size_t> usable(engines.size());
  std::iota(usable.begin(), usable.end(), 0);
  return PipelineBound(engines, usable,
                       {model, input.kinds, input.links,
                        InterTokenLatencyOf(input, model.name)});
}

double ServedTokensPerSecond(const PlacementInput& input,
                             std::span<const LayerAssignment> assignments) {
  double served = 0;
  for (const auto& model : input.models) {
    served += std::min(FlowBound(input, model, assignments),
                       kHeadroom * DemandOf(input, model.name));
  }
  return served;
}

std::vector<LayerAssignment> EvenSplitPlacement::Assign(
    const PlacementInput& input) const {
  return PlaceModels(input, SplitEvenly);
}

std::vector<LayerAssignment> FlowGuidedPlacement::Assign(
    const PlacementInput& input) const {
  return PlaceModels(input, PlaceByFlow);
}

}  // namespace qp::policy
