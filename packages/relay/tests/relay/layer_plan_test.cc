#include "relay/layer_plan.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "relay/configurations.h"

namespace qp::relay::testing {

namespace {

PlannedEngine MakeEmptyEngine(std::string id, std::string kind,
                              std::string zone = "a") {
  return {std::move(id), std::move(zone), std::move(kind), {}, true};
}

/// Number of engines that hold each layer once the orders are carried out.
std::vector<int> CoverageAfter(std::vector<PlannedEngine> engines,
                               const std::vector<LayerOrder>& orders) {
  std::map<std::string, LayerRange> held;
  for (const auto& engine : engines) {
    held[engine.id] = engine.layers;
  }
  for (const auto& order : orders) {
    held[order.engine] = order.layers;
  }
  std::vector<int> coverage(MakeProfile().layers, 0);
  for (const auto& [id, range] : held) {
    for (auto layer = range.first; layer < range.end; ++layer) {
      ++coverage.at(layer);
    }
  }
  return coverage;
}

std::vector<PlannedEngine> MakeMixedZone() {
  std::vector<PlannedEngine> engines = {MakeEmptyEngine("l0", "large")};
  for (int index = 0; index < 6; ++index) {
    engines.push_back(MakeEmptyEngine("m" + std::to_string(index), "middle"));
  }
  for (int index = 0; index < 5; ++index) {
    engines.push_back(MakeEmptyEngine("s" + std::to_string(index), "small"));
  }
  return engines;
}

std::vector<PlannedEngine> MakeMiddleEngines(std::size_t count) {
  std::vector<PlannedEngine> engines;
  engines.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    engines.push_back(MakeEmptyEngine("e" + std::to_string(index), "middle"));
  }
  return engines;
}

std::vector<PlannedEngine> ApplyOrders(std::vector<PlannedEngine> engines,
                                       const std::vector<LayerOrder>& orders) {
  for (auto& engine : engines) {
    for (const auto& order : orders) {
      if (order.engine == engine.id) {
        engine.layers = order.layers;
      }
    }
  }
  return engines;
}

}  // namespace

TEST_CASE("Empty engines of a zone cover the whole model", "[relay][layers]") {
  const auto engines = MakeMixedZone();
  const auto orders = PlanLayers(MakeProfile(), engines);
  CHECK(orders.size() == engines.size());
  for (const int count : CoverageAfter(engines, orders)) {
    CHECK(count >= 1);
  }
}

TEST_CASE("A zone with many accelerators keeps memory for requests",
          "[relay][layers]") {
  const auto engines = MakeMiddleEngines(30);
  const auto orders = PlanLayers(MakeProfile(), engines);
  for (const auto& order : orders) {
    // The memory that the layers leave free holds about a hundred requests of
    // 1,000 tokens.
    CHECK(order.layers.size() <=
          MakeProfile().LayersThatFit("middle", 100'000));
  }
  for (const int count : CoverageAfter(engines, orders)) {
    CHECK(count >= 2);
  }
}

TEST_CASE("A zone with few accelerators prefers a second copy to more requests",
          "[relay][layers]") {
  const auto engines = MakeMiddleEngines(10);
  for (const int count :
       CoverageAfter(engines, PlanLayers(MakeProfile(), engines))) {
    CHECK(count >= 2);
  }
}

TEST_CASE("A plan that has been carried out is not changed",
          "[relay][layers]") {
  auto engines = MakeMixedZone();
  engines = ApplyOrders(engines, PlanLayers(MakeProfile(), engines));
  CHECK(PlanLayers(MakeProfile(), engines).empty());
}

TEST_CASE("An engine moves to layers that no engine holds any more",
          "[relay][layers]") {
  auto engines = MakeMixedZone();
  engines = ApplyOrders(engines, PlanLayers(MakeProfile(), engines));
  // All engines that hold layer 0 are lost.
  std::erase_if(engines, [](const PlannedEngine& engine) {
    return engine.layers.first == 0;
  });
  int rounds = 0;
  for (auto orders = PlanLayers(MakeProfile(), engines); !orders.empty();
       orders = PlanLayers(MakeProfile(), engines)) {
    engines = ApplyOrders(engines, orders);
    REQUIRE(++rounds < 10);
  }
  for (const int count : CoverageAfter(engines, {})) {
    CHECK(count >= 1);
  }
}

TEST_CASE("An engine that is not movable keeps its layers", "[relay][layers]") {
  auto engines = MakeMixedZone();
  engines = ApplyOrders(engines, PlanLayers(MakeProfile(), engines));
  std::erase_if(engines, [](const PlannedEngine& engine) {
    return engine.layers.first == 0;
  });
  for (auto& engine : engines) {
    engine.movable = false;
  }
  CHECK(PlanLayers(MakeProfile(), engines).empty());
}

TEST_CASE("Each zone is planned on its own", "[relay][layers]") {
  std::vector<PlannedEngine> engines;
  for (const std::string zone : {"a", "b"}) {
    for (int index = 0; index < 4; ++index) {
      engines.push_back(
          MakeEmptyEngine(zone + std::to_string(index), "large", zone));
    }
  }
  for (const int count :
       CoverageAfter(engines, PlanLayers(MakeProfile(), engines))) {
    CHECK(count >= 2);
  }
}

TEST_CASE("No order exceeds the memory of an engine", "[relay][layers]") {
  CHECK(rc::check("for any engines and any layers held", [] {
    const auto profile = MakeProfile();
    std::vector<PlannedEngine> engines;
    const int count = *rc::gen::inRange(0, 40);
    for (int index = 0; index < count; ++index) {
      auto engine = MakeEmptyEngine(
          "e" + std::to_string(index),
          *rc::gen::element<std::string>("large", "middle", "small", "other"),
          *rc::gen::element<std::string>("a", "b"));
      if (*rc::gen::arbitrary<bool>()) {
        engine.layers.first = *rc::gen::inRange(0u, 79u);
        engine.layers.end = *rc::gen::inRange(engine.layers.first + 1, 81u);
      }
      engine.movable = *rc::gen::arbitrary<bool>();
      engines.push_back(std::move(engine));
    }
    for (const auto& order : PlanLayers(profile, engines)) {
      const auto engine = std::find_if(
          engines.begin(), engines.end(),
          [&](const auto& known) { return known.id == order.engine; });
      RC_ASSERT(engine != engines.end());
      RC_ASSERT(order.layers.end <= profile.layers);
      RC_ASSERT(!order.layers.empty());
      const auto& kind = profile.accelerators.at(engine->accelerator);
      RC_ASSERT(order.layers.size() * profile.layer_mb < kind.memory_mb);
      RC_ASSERT(engine->layers.empty() || engine->movable);
    }
  }));
}

// Guards against a plan that is never made: layers beyond those of the model,
// from an entry of another writer or of an older configuration, threw.
TEST_CASE("An engine with layers that the model lacks counts as empty",
          "[relay][layers]") {
  std::vector<PlannedEngine> engines = MakeMiddleEngines(12);
  const LayerRange foreign =
      GENERATE(LayerRange{0, 160}, LayerRange{70, 90}, LayerRange{80, 81},
               LayerRange{200, 300}, LayerRange{60, 20}, LayerRange{300, 200},
               LayerRange{0, 4'000'000'000});
  auto odd = MakeEmptyEngine("odd", "middle");
  odd.layers = foreign;
  odd.movable = GENERATE(false, true);
  engines.insert(engines.begin(), odd);
  const auto orders = PlanLayers(MakeProfile(), engines);
  engines.front().layers = {};
  CHECK(orders == PlanLayers(MakeProfile(), engines));
  const auto coverage = CoverageAfter(engines, orders);
  CHECK(std::count(coverage.begin(), coverage.end(), 0) == 0);
}

}  // namespace qp::relay::testing
