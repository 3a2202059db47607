#include "relay/layer_plan.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace qp::relay {

namespace {

/// Step, in tokens, by which ChooseKvTokens reduces the memory for requests
/// until enough layers fit.
constexpr double kKvTokenDecrement = 8'000;
/// Sums of speeds below this value are rounding errors of zero.
constexpr double kSpeedEpsilon = 1e-9;

/// For each layer, the summed speed of the engines of one zone that hold the
/// layer. An accelerator with a step factor of 1 has speed 1.
class Coverage {
 public:
  explicit Coverage(std::uint32_t layers) : speed(layers, 0.0) {}

  void Add(LayerRange range, double amount) {
    for (std::uint32_t layer = range.first; layer < range.end; ++layer) {
      this->speed.at(layer) += amount;
    }
  }

  double Sum(LayerRange range) const {
    double sum = 0;
    for (std::uint32_t layer = range.first; layer < range.end; ++layer) {
      sum += this->speed.at(layer);
    }
    return sum;
  }

  double Min(LayerRange range) const {
    return *std::min_element(this->speed.begin() + range.first,
                             this->speed.begin() + range.end);
  }

  /// First contiguous layers that no engine holds; empty if there are none.
  LayerRange FirstUncovered() const {
    const auto is_uncovered = [](double speed) {
      return speed < kSpeedEpsilon;
    };
    const auto first =
        std::find_if(this->speed.begin(), this->speed.end(), is_uncovered);
    const auto end = std::find_if_not(first, this->speed.end(), is_uncovered);
    return {static_cast<std::uint32_t>(first - this->speed.begin()),
            static_cast<std::uint32_t>(end - this->speed.begin())};
  }

  std::uint32_t layers() const {
    return static_cast<std::uint32_t>(this->speed.size());
  }

 private:
  std::vector<double> speed;
};

/// Layer count at whose multiples all ranges start, so that the ranges of
/// different accelerators meet: the largest divisor of the model's layer count
/// that fits into the smallest accelerator that can hold a layer.
std::uint32_t AlignmentFor(const EngineProfile& profile, double kv_tokens) {
  std::uint32_t smallest = profile.layers;
  for (const auto& [kind, accelerator] : profile.accelerators) {
    const auto fitting = profile.LayersThatFit(kind, kv_tokens);
    if (fitting > 0) {
      smallest = std::min(smallest, fitting);
    }
  }
  for (std::uint32_t alignment = smallest; alignment > 1; --alignment) {
    if (profile.layers % alignment == 0) {
      return alignment;
    }
  }
  return 1;
}

/// Plans the layers of the engines of one availability zone.
class ZonePlanner {
 public:
  explicit ZonePlanner(const EngineProfile& engine_profile)
      : profile(engine_profile), coverage(engine_profile.layers) {}

  void Add(PlannedEngine engine) { this->engines.push_back(std::move(engine)); }

  void Plan(std::vector<LayerOrder>& orders) {
    this->ChooseKvTokens();
    for (const auto& engine : this->engines) {
      this->coverage.Add(engine.layers, this->SpeedOf(engine));
    }
    this->FillEmptyEngines(orders);
    this->CoverGap(orders);
  }

 private:
  double SpeedOf(const PlannedEngine& engine) const {
    const auto found = this->profile.accelerators.find(engine.accelerator);
    return found == this->profile.accelerators.end()
               ? 1.0
               : 1.0 / found->second.step_factor;
  }

  /// Chooses the most memory for requests that still leaves room for
  /// kTargetReplicas copies of the model, but at least kMinKvTokens.
  void ChooseKvTokens() {
    this->kv_tokens = kMaxKvTokens;
    while (true) {
      this->alignment = AlignmentFor(this->profile, this->kv_tokens);
      if (this->kv_tokens <= kMinKvTokens ||
          this->ReplicaCount() >= kTargetReplicas) {
        return;
      }
      this->kv_tokens =
          std::max(kMinKvTokens, this->kv_tokens - kKvTokenDecrement);
    }
  }

  /// Copies of the model that all engines together can hold.
  double ReplicaCount() const {
    double layers = 0;
    for (const auto& engine : this->engines) {
      layers += this->RangeSizeFor(engine);
    }
    return layers / this->profile.layers;
  }

  std::uint32_t RangeSizeFor(const PlannedEngine& engine) const {
    const auto fitting =
        this->profile.LayersThatFit(engine.accelerator, this->kv_tokens);
    return fitting / this->alignment * this->alignment;
  }

  /// The range of `size` layers whose least covered layer has the lowest speed;
  /// ties go to the range with the lowest sum of speeds.
  LayerRange LeastCovered(std::uint32_t size) const {
    LayerRange best{0, size};
    for (std::uint32_t first = 0; first + size <= this->coverage.layers();
         first += this->alignment) {
      const LayerRange range{first, first + size};
      const auto rank = [this](LayerRange candidate) {
        return std::pair(this->coverage.Min(candidate),
                         this->coverage.Sum(candidate));
      };
      if (rank(range) < rank(best)) {
        best = range;
      }
    }
    return best;
  }

  void Assign(PlannedEngine& engine, LayerRange range,
              std::vector<LayerOrder>& orders) {
    this->coverage.Add(engine.layers, -this->SpeedOf(engine));
    this->coverage.Add(range, this->SpeedOf(engine));
    engine.layers = range;
    orders.push_back({engine.id, range});
  }

  void FillEmptyEngines(std::vector<LayerOrder>& orders) {
    std::vector<PlannedEngine*> empty;
    for (auto& engine : this->engines) {
      if (engine.layers.empty() && this->RangeSizeFor(engine) > 0) {
        empty.push_back(&engine);
      }
    }
    // Large ranges are placed first, so that small ranges fill the rest.
    std::stable_sort(empty.begin(), empty.end(), [this](auto* a, auto* b) {
      return this->RangeSizeFor(*a) > this->RangeSizeFor(*b);
    });
    for (auto* engine : empty) {
      this->Assign(*engine, this->LeastCovered(this->RangeSizeFor(*engine)),
                   orders);
    }
  }

  void CoverGap(std::vector<LayerOrder>& orders) {
    const LayerRange gap = this->coverage.FirstUncovered();
    if (gap.empty()) {
      return;
    }
    PlannedEngine* best = nullptr;
    for (auto& engine : this->engines) {
      if (this->IsReplaceable(engine) &&
          (best == nullptr || this->CoversGapBetter(engine, *best, gap))) {
        best = &engine;
      }
    }
    if (best != nullptr) {
      const auto size = this->RangeSizeFor(*best);
      const auto first = std::min(gap.first / this->alignment * this->alignment,
                                  this->coverage.layers() - size);
      this->Assign(*best, {first, first + size}, orders);
    }
  }

  /// Prefers the engine with the smallest range that covers the whole gap,
  /// because small ranges load fastest. If no engine covers the whole gap,
  /// prefers the engine with the largest range.
  bool CoversGapBetter(const PlannedEngine& engine, const PlannedEngine& best,
                       LayerRange gap) const {
    const auto size = this->RangeSizeFor(engine);
    const auto best_size = this->RangeSizeFor(best);
    const bool covers_gap = size >= gap.size();
    const bool best_covers_gap = best_size >= gap.size();
    if (covers_gap != best_covers_gap) {
      return covers_gap;
    }
    return covers_gap ? size < best_size : size > best_size;
  }

  /// Whether the engine is movable and other engines also hold all of its
  /// layers.
  bool IsReplaceable(const PlannedEngine& engine) const {
    return engine.movable && !engine.layers.empty() &&
           this->RangeSizeFor(engine) > 0 &&
           this->coverage.Min(engine.layers) >
               this->SpeedOf(engine) + kSpeedEpsilon;
  }

  const EngineProfile& profile;
  double kv_tokens = kMaxKvTokens;
  std::uint32_t alignment = 1;
  Coverage coverage;
  std::vector<PlannedEngine> engines;
};

}  // namespace

std::vector<LayerOrder> PlanLayers(const EngineProfile& profile,
                                   std::span<const PlannedEngine> engines) {
  std::vector<LayerOrder> orders;
  if (profile.layers == 0) {
    return orders;
  }
  std::map<std::string, ZonePlanner, std::less<>> zones;
  for (const auto& engine : engines) {
    PlannedEngine known = engine;
    if (known.layers.empty() || !known.layers.IsWithin(profile.layers)) {
      known.layers = {};
    }
    auto& planner =
        zones.try_emplace(engine.availability_zone, profile).first->second;
    planner.Add(std::move(known));
  }
  for (auto& [zone, planner] : zones) {
    planner.Plan(orders);
  }
  return orders;
}

}  // namespace qp::relay
