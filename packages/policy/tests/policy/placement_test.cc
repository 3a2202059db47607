#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

#include "policy/placement_planner.h"

namespace {

using namespace std::chrono_literals;
using qp::Backend;
using qp::ModelSpec;
using qp::TimePoint;
using qp::policy::FlowGuidedPlacement;
using qp::policy::LayerAssignment;
using qp::policy::PlacementInput;
using qp::policy::PlacementLimits;
using qp::policy::PlacementPlanner;

constexpr std::uint64_t kGigabyte = 1000000000;

const std::vector<qp::AcceleratorKind> kKinds{{"a", 80 * kGigabyte, 80000},
                                              {"b", 40 * kGigabyte, 30000},
                                              {"c", 24 * kGigabyte, 12000},
                                              {"d", 16 * kGigabyte, 4000}};

/// Engines whose kinds are indexes into kKinds and whose zones are numbers;
/// zones below 2 are in one region, the others in a second one.
std::vector<Backend> Fleet(const std::vector<int>& kinds,
                           const std::vector<int>& zones) {
  std::vector<Backend> engines(kinds.size());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i].name = "engine-" + std::to_string(1000 + i);
    engines[i].kind = kKinds[kinds[i]].name;
    engines[i].availability_zone = "zone-" + std::to_string(zones[i]);
    engines[i].region = zones[i] < 2 ? "north" : "south";
    engines[i].slots = 16;
  }
  return engines;
}

std::vector<Backend> RandomFleet(std::size_t size, std::uint64_t seed) {
  std::mt19937_64 generator(seed);
  std::uniform_int_distribution<int> kind(0, 3);
  std::uniform_int_distribution<int> zone(0, 3);
  std::vector<int> kinds;
  std::vector<int> zones;
  for (std::size_t i = 0; i < size; ++i) {
    kinds.push_back(kind(generator));
    zones.push_back(zone(generator));
  }
  return Fleet(kinds, zones);
}

/// A fleet of engines with its models and their demands.
class TestFleet {
 public:
  explicit TestFleet(std::vector<Backend> fleet)
      : engines(std::move(fleet)),
        models{{"large", 80, 2 * kGigabyte, 16384},
               {"small", 32, kGigabyte / 2, 8192}},
        demands{{"large", 2000}, {"small", 4000}} {}

  PlacementInput Input() const {
    return {this->engines, this->models, kKinds, this->demands, {}};
  }

  void Apply(const LayerAssignment& order) {
    for (auto& engine : this->engines) {
      if (engine.name == order.engine) {
        engine.model = order.model;
        engine.first_layer = order.first_layer;
        engine.last_layer = order.last_layer;
      }
    }
  }

  std::vector<LayerAssignment> HeldLayers() const {
    std::vector<LayerAssignment> held;
    for (const auto& engine : this->engines) {
      if (!engine.model.empty()) {
        held.push_back(
            {engine.name, engine.model, engine.first_layer, engine.last_layer});
      }
    }
    return held;
  }

  std::vector<Backend> engines;
  std::vector<ModelSpec> models;
  std::vector<qp::policy::ModelDemand> demands;
};

/// Bytes of the ordered layers that the engine does not hold yet.
double LoadBytes(const TestFleet& fleet, const LayerAssignment& order) {
  double bytes = 0;
  for (const auto& engine : fleet.engines) {
    if (engine.name != order.engine) {
      continue;
    }
    for (auto layer = order.first_layer; layer <= order.last_layer; ++layer) {
      const bool held = engine.model == order.model &&
                        engine.first_layer <= layer &&
                        layer <= engine.last_layer;
      bytes += held ? 0 : (order.model == "large" ? 2e9 : 5e8);
    }
  }
  return bytes;
}

PlacementPlanner MakePlanner(PlacementLimits limits = {}) {
  return PlacementPlanner(std::make_unique<FlowGuidedPlacement>(), limits);
}

}  // namespace

// Guards against layer ranges that do not fit an engine or lie outside the
// model, and against a search whose result is worse than the even split.
TEST_CASE("Placements fit the engines and serve no less than the even split",
          "[placement]") {
  CHECK(rc::check([] {
    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
    TestFleet fleet(RandomFleet(size, *rc::gen::inRange(0, 1000)));
    const auto input = fleet.Input();
    const auto guided = FlowGuidedPlacement().Assign(input);
    const auto even = qp::policy::EvenSplitPlacement().Assign(input);
    std::set<std::string> placed;
    for (const auto& item : guided) {
      RC_ASSERT(placed.insert(item.engine).second);
      const auto& model = fleet.models[item.model == "large" ? 0 : 1];
      RC_ASSERT(item.first_layer <= item.last_layer);
      RC_ASSERT(item.last_layer < model.layers);
      const auto engine = std::find_if(
          fleet.engines.begin(), fleet.engines.end(),
          [&](const auto& other) { return other.name == item.engine; });
      RC_ASSERT(item.last_layer - item.first_layer <
                qp::policy::LayersThatFit(model, engine->kind, kKinds));
    }
    for (const auto& model : fleet.models) {
      RC_ASSERT(qp::policy::FlowBound(input, model, guided) >=
                qp::policy::FlowBound(input, model, even));
    }
  }));
}

// Guards against a policy that ignores the speed, memory or links of engines.
// The flow must come close to the sum of the accelerators' rates, which no
// placement can exceed.
TEST_CASE("Flow-guided placement uses the capacity of a mixed fleet",
          "[placement]") {
  TestFleet fleet(RandomFleet(60, GENERATE(4, 5, 6)));
  const auto input = fleet.Input();
  const auto guided = FlowGuidedPlacement().Assign(input);
  const auto even = qp::policy::EvenSplitPlacement().Assign(input);
  double flow_guided = 0;
  double baseline = 0;
  for (const auto& model : fleet.models) {
    flow_guided += model.layers * qp::policy::FlowBound(input, model, guided);
    baseline += model.layers * qp::policy::FlowBound(input, model, even);
  }
  double capacity = 0;
  for (const auto& engine : fleet.engines) {
    capacity += kKinds[engine.kind[0] - 'a'].layer_tokens_per_second;
  }
  CAPTURE(flow_guided / capacity, baseline / capacity);
  CHECK(flow_guided > 0.85 * capacity);
  CHECK(flow_guided > 1.4 * baseline);
}

// Guards against loads that exceed the rate of the weight store, and against
// moves that take all models out of service.
TEST_CASE("Moves respect the rate of the store and keep models in service",
          "[placement]") {
  TestFleet fleet(RandomFleet(24, 9));
  PlacementLimits limits;
  limits.store_bytes_per_second = 2e9;
  auto planner = MakePlanner(limits);
  for (const auto& item :
       qp::policy::EvenSplitPlacement().Assign(fleet.Input())) {
    fleet.Apply(item);
  }
  const double served_before =
      qp::policy::ServedTokensPerSecond(fleet.Input(), fleet.HeldLayers());
  REQUIRE(served_before > 0);
  // Loads in progress, each with the second in which it ends.
  std::deque<std::pair<int, LayerAssignment>> pending_loads;
  double bytes = 0;
  double largest = 0;
  constexpr int kDurationSeconds = 1500;
  for (int second = 0; second < kDurationSeconds; ++second) {
    std::erase_if(pending_loads, [&](const auto& item) {
      const bool done = item.first <= second;
      if (done) {
        fleet.Apply(item.second);
        for (auto& engine : fleet.engines) {
          engine.reachable =
              engine.reachable || engine.name == item.second.engine;
        }
      }
      return done;
    });
    const auto decision = planner.Decide(
        fleet.Input(), TimePoint{} + std::chrono::seconds(second));
    for (const auto& order : decision.orders) {
      const double load = LoadBytes(fleet, order);
      bytes += load;
      largest = std::max(largest, load);
      pending_loads.emplace_back(
          second + static_cast<int>(load / limits.store_bytes_per_second) + 1,
          order);
    }
    auto serving = fleet.HeldLayers();
    std::erase_if(serving, [&](const auto& held) {
      return std::any_of(
          pending_loads.begin(), pending_loads.end(),
          [&](const auto& item) { return item.second.engine == held.engine; });
    });
    CHECK(qp::policy::ServedTokensPerSecond(fleet.Input(), serving) > 0);
    CHECK(bytes <= limits.store_bytes_per_second * (second + 1) + largest);
  }
  CHECK(fleet.HeldLayers() == planner.plan());
  CHECK(qp::policy::ServedTokensPerSecond(fleet.Input(), fleet.HeldLayers()) >
        1.1 * served_before);
}

// Guards against plans that change back and forth with small changes of demand
// or with engines that are briefly unreachable. Each change makes engines load
// weights, during which they serve nothing.
TEST_CASE("Changing demand and flapping engines don't make plans oscillate",
          "[placement]") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000);
    TestFleet fleet(RandomFleet(16, seed));
    auto planner = MakePlanner();
    std::mt19937_64 generator(seed);
    std::uniform_real_distribution<double> demand_factor(0.9, 1.1);
    std::uniform_int_distribution<std::size_t> any(0, 15);
    std::vector<std::vector<LayerAssignment>> plans;
    for (int minute = 0; minute < 60; ++minute) {
      fleet.demands[0].tokens_per_second = 2000 * demand_factor(generator);
      fleet.demands[1].tokens_per_second = 4000 * demand_factor(generator);
      // From minute 5 on, a late report makes one engine unreachable in every
      // fourth decision.
      auto& flapping = fleet.engines[any(generator)];
      flapping.reachable = minute < 5 || minute % 4 != 0;
      const auto decision = planner.Decide(
          fleet.Input(), TimePoint{} + std::chrono::minutes(minute));
      flapping.reachable = true;
      for (const auto& order : decision.orders) {
        fleet.Apply(order);
      }
      if (decision.plan_changed) {
        RC_ASSERT(std::find(plans.begin(), plans.end(), planner.plan()) ==
                  plans.end());
        plans.push_back(planner.plan());
      }
    }
    RC_ASSERT(plans.size() <= 6U);
  }));
}
