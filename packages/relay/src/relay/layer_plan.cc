#include "relay/layer_plan.h"

#include <algorithm>
#include <map>
#include <optional>

namespace qp::relay {

namespace {

/// Step in which memory for requests is given up for layers, in tokens.
constexpr double kKvTokenStep = 8'000;
/// Sums of speeds below this are rounding errors of 0.
constexpr double kRounding = 1e-9;

/// Layers of one zone with the speed that covers each.
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

  double Least(LayerRange range) const {
    return *std::min_element(this->speed.begin() + range.first,
                             this->speed.begin() + range.end);
  }

  /// First layers that nothing covers; empty if there are none.
  LayerRange FirstHole() const {
    const auto is_hole = [](double held) { return held < kRounding; };
    const auto first =
        std::find_if(this->speed.begin(), this->speed.end(), is_hole);
    const auto end = std::find_if_not(first, this->speed.end(), is_hole);
    return {static_cast<std::uint32_t>(first - this->speed.begin()),
            static_cast<std::uint32_t>(end - this->speed.begin())};
  }

  std::uint32_t layers() const {
    return static_cast<std::uint32_t>(this->speed.size());
  }

 private:
  std::vector<double> speed;
};

/// Ranges begin at multiples of this, so that those of different cards meet.
std::uint32_t GridOf(const EngineProfile& profile, double kv_tokens) {
  std::uint32_t smallest = profile.layers;
  for (const auto& [kind, accelerator] : profile.accelerators) {
    const auto fitting = profile.LayersThatFit(kind, kv_tokens);
    if (fitting > 0) {
      smallest = std::min(smallest, fitting);
    }
  }
  for (std::uint32_t grid = smallest; grid > 1; --grid) {
    if (profile.layers % grid == 0) {
      return grid;
    }
  }
  return 1;
}

class ZonePlanner {
 public:
  explicit ZonePlanner(const EngineProfile& model)
      : profile(model), coverage(model.layers) {}

  void Add(const PlannedEngine& engine) { this->members.push_back(engine); }

  void Plan(std::vector<LayerOrder>& orders) {
    this->ChooseMemory();
    for (const auto& engine : this->members) {
      this->coverage.Add(engine.layers, this->SpeedOf(engine));
    }
    this->FillEmptyEngines(orders);
    this->CloseHole(orders);
  }

 private:
  double SpeedOf(const PlannedEngine& engine) const {
    const auto found = this->profile.accelerators.find(engine.accelerator);
    return found == this->profile.accelerators.end()
               ? 1.0
               : 1.0 / found->second.step_factor;
  }

  /// Keeps as much memory for requests as the wanted copies leave.
  void ChooseMemory() {
    this->kv_tokens = kMaxKvTokens;
    while (true) {
      this->grid = GridOf(this->profile, this->kv_tokens);
      if (this->kv_tokens <= kMinKvTokens ||
          this->Copies() >= kTargetReplicas) {
        return;
      }
      this->kv_tokens = std::max(kMinKvTokens, this->kv_tokens - kKvTokenStep);
    }
  }

  /// Copies of the model that the engines can hold.
  double Copies() const {
    double layers = 0;
    for (const auto& engine : this->members) {
      layers += this->SizeFor(engine);
    }
    return layers / this->profile.layers;
  }

  std::uint32_t SizeFor(const PlannedEngine& engine) const {
    const auto fitting =
        this->profile.LayersThatFit(engine.accelerator, this->kv_tokens);
    return fitting / this->grid * this->grid;
  }

  /// The range of `size` layers that is covered least.
  LayerRange LeastCovered(std::uint32_t size) const {
    LayerRange best{0, size};
    for (std::uint32_t first = 0; first + size <= this->coverage.layers();
         first += this->grid) {
      const LayerRange range{first, first + size};
      const auto rank = [this](LayerRange candidate) {
        return std::pair(this->coverage.Least(candidate),
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
    for (auto& engine : this->members) {
      if (engine.layers.empty() && this->SizeFor(engine) > 0) {
        empty.push_back(&engine);
      }
    }
    // Large ranges first: the small ones then fill what is left.
    std::stable_sort(empty.begin(), empty.end(), [this](auto* a, auto* b) {
      return this->SizeFor(*a) > this->SizeFor(*b);
    });
    for (auto* engine : empty) {
      this->Assign(*engine, this->LeastCovered(this->SizeFor(*engine)), orders);
    }
  }

  void CloseHole(std::vector<LayerOrder>& orders) {
    const LayerRange hole = this->coverage.FirstHole();
    if (hole.empty()) {
      return;
    }
    PlannedEngine* best = nullptr;
    for (auto& engine : this->members) {
      if (this->CanBeSpared(engine) &&
          (best == nullptr || this->ClosesBetter(engine, *best, hole))) {
        best = &engine;
      }
    }
    if (best != nullptr) {
      const auto size = this->SizeFor(*best);
      const auto first = std::min(hole.first / this->grid * this->grid,
                                  this->coverage.layers() - size);
      this->Assign(*best, {first, first + size}, orders);
    }
  }

  /// A small engine loads soonest, so the smallest that closes the hole goes
  /// first, and where none closes it the largest.
  bool ClosesBetter(const PlannedEngine& engine, const PlannedEngine& best,
                    LayerRange hole) const {
    const auto size = this->SizeFor(engine);
    const auto best_size = this->SizeFor(best);
    const bool whole = size >= hole.size();
    const bool best_whole = best_size >= hole.size();
    if (whole != best_whole) {
      return whole;
    }
    return whole ? size < best_size : size > best_size;
  }

  /// Whether others hold all layers of the engine as well.
  bool CanBeSpared(const PlannedEngine& engine) const {
    return engine.movable && !engine.layers.empty() &&
           this->SizeFor(engine) > 0 &&
           this->coverage.Least(engine.layers) >
               this->SpeedOf(engine) + kRounding;
  }

  const EngineProfile& profile;
  double kv_tokens = kMaxKvTokens;
  std::uint32_t grid = 1;
  Coverage coverage;
  std::vector<PlannedEngine> members;
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
    zones.try_emplace(engine.availability_zone, profile)
        .first->second.Add(engine);
  }
  for (auto& [zone, planner] : zones) {
    planner.Plan(orders);
  }
  return orders;
}

}  // namespace qp::relay
