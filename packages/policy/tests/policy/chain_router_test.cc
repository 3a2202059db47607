#include "policy/chain_router.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

namespace {

using qp::Backend;
using qp::BackendsView;
using qp::ModelSpec;
using qp::TimePoint;
using qp::policy::ChainQuery;
using qp::policy::ChainRouter;
using qp::policy::ServiceRouter;

Backend Engine(int number, std::uint32_t first, std::uint32_t last) {
  Backend engine;
  engine.name = "engine-" + std::to_string(number);
  engine.address = "127.0.0.1:" + std::to_string(9000 + number);
  engine.model = "m";
  engine.kind = "k";
  engine.availability_zone = "zone-" + std::to_string(number % 3);
  engine.first_layer = first;
  engine.last_layer = last;
  engine.slots = 8;
  return engine;
}

ModelSpec Model(std::uint32_t layers) {
  ModelSpec model;
  model.name = "m";
  model.layers = layers;
  model.activation_bytes = 16384;
  return model;
}

/// Whether a chain exists: the routable engines together hold all layers.
bool CoversAllLayers(const BackendsView& view, std::uint32_t layers) {
  for (std::uint32_t layer = 0; layer < layers; ++layer) {
    bool held = false;
    for (const auto& engine : view.backends) {
      held = held || (engine.IsRoutable() && engine.first_layer <= layer &&
                      layer <= engine.last_layer);
    }
    if (!held) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Guards against a layer that is skipped or run twice where ranges overlap, and
// against an engine that appears twice in a chain, as it has only one KV cache.
TEST_CASE("A chain covers every layer exactly once with overlapping ranges",
          "[router]") {
  CHECK(rc::check([] {
    const auto layers = *rc::gen::inRange<std::uint32_t>(1, 24);
    const auto count = *rc::gen::inRange(0, 14);
    BackendsView view;
    for (int i = 0; i < count; ++i) {
      const auto first = *rc::gen::inRange<std::uint32_t>(0, layers);
      const auto last = *rc::gen::inRange<std::uint32_t>(first, layers);
      view.backends.push_back(Engine(i, first, last));
      view.backends.back().running = *rc::gen::inRange(0, 20);
      view.backends.back().leaving = *rc::gen::inRange(0, 5) == 0;
    }
    const auto model = Model(layers);
    ChainRouter router(*rc::gen::inRange<std::uint64_t>(0, 1000));
    ChainQuery query;
    query.model = &model;
    const auto chain = router.Choose(view, query, TimePoint{});
    RC_ASSERT(chain.has_value() == CoversAllLayers(view, layers));
    if (!chain) {
      return;
    }
    std::uint32_t next = 0;
    std::set<std::string> engines;
    for (const auto& stage : chain->stages) {
      RC_ASSERT(stage.first_layer == next);
      RC_ASSERT(stage.last_layer >= stage.first_layer);
      next = stage.last_layer + 1;
      RC_ASSERT(engines.insert(stage.engine).second);
      const auto held = std::find_if(
          view.backends.begin(), view.backends.end(),
          [&](const auto& engine) { return engine.name == stage.engine; });
      RC_ASSERT(held->IsRoutable());
      RC_ASSERT(held->first_layer <= stage.first_layer);
      RC_ASSERT(held->last_layer >= stage.last_layer);
    }
    RC_ASSERT(next == layers);
  }));
}

// Guards against a retry on an engine that has already failed the request.
TEST_CASE("An excluded engine is never part of the chain", "[router]") {
  BackendsView view{{Engine(0, 0, 3), Engine(1, 0, 3), Engine(2, 4, 7)}};
  const auto model = Model(8);
  const std::vector<std::string> excluded{"engine-0"};
  ChainRouter router(1);
  for (int i = 0; i < 50; ++i) {
    ChainQuery query;
    query.model = &model;
    query.excluded = excluded;
    const auto chain = router.Choose(view, query, TimePoint{});
    REQUIRE(chain);
    CHECK(chain->stages[0].engine == "engine-1");
  }
}

// Guards against calls to a server that is about to stop.
TEST_CASE("A leaving or excluded service server is not chosen", "[router]") {
  BackendsView view;
  for (int i = 0; i < 3; ++i) {
    auto server = Engine(i, 0, 0);
    server.role = qp::BackendRole::kService;
    server.service = "stock-book";
    server.leaving = i == 0;
    view.backends.push_back(server);
  }
  const std::vector<std::string> excluded{"engine-1"};
  ServiceRouter router(1);
  for (int i = 0; i < 20; ++i) {
    const auto server = router.Choose(view, "stock-book", excluded);
    REQUIRE(server);
    CHECK(server->name == "engine-2");
  }
  CHECK_FALSE(router.Choose(view, "unknown", {}));
}

// Guards against a burst of calls that all go to one server because no load
// report arrives in between.
TEST_CASE("Calls in flight correct a lagging load report", "[router]") {
  BackendsView view;
  for (int i = 0; i < 2; ++i) {
    auto server = Engine(i, 0, 0);
    server.role = qp::BackendRole::kService;
    server.service = "stock-book";
    view.backends.push_back(server);
  }
  ServiceRouter router(3);
  std::map<std::string, int> calls;
  for (int i = 0; i < 20; ++i) {
    const auto server = router.Choose(view, "stock-book", {});
    REQUIRE(server);
    router.OnStarted(server->name);
    ++calls[server->name];
  }
  CHECK(calls["engine-0"] == 10);
  CHECK(calls["engine-1"] == 10);
}

// Guards against a prediction that is so high that all deadlines are refused,
// so that no response can correct it, and against an engine that is never used
// again after slow responses.
TEST_CASE("Predictions start low, follow observations and decay", "[router]") {
  using namespace std::chrono_literals;
  auto engine = Engine(0, 0, 7);
  engine.slots = 500;
  const BackendsView view{{engine}};
  const auto model = Model(8);
  ChainRouter router(1);
  ChainQuery query;
  query.model = &model;
  query.expected_tokens = 100;
  const auto predicted = [&](TimePoint now) {
    return router.Choose(view, query, now)->predicted_inter_token_latency;
  };
  const auto initial = predicted(TimePoint{});
  CHECK(initial < 1ms);
  for (int i = 0; i < 50; ++i) {
    router.OnObserved(*router.Choose(view, query, TimePoint{}), 4 * initial);
  }
  CHECK(predicted(TimePoint{}) > 3 * initial);
  CHECK(predicted(TimePoint{}) < 5 * initial);
  CHECK(predicted(TimePoint{} + 10min) < 1.1 * initial);
}
