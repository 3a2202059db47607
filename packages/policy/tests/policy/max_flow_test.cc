#include "policy/max_flow.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

#include "policy/pipeline_plan.h"

namespace {

using qp::Backend;
using qp::policy::LinkMap;
using qp::policy::MaxFlow;

struct TestEdge {
  std::size_t from = 0;
  std::size_t to = 0;
  std::int64_t capacity = 0;
};

/// Capacity of the minimum cut between nodes 0 and 1, by trying all cuts.
std::int64_t MinCut(std::size_t nodes, const std::vector<TestEdge>& edges) {
  auto best = std::numeric_limits<std::int64_t>::max();
  for (std::size_t cut_set = 0; cut_set < (std::size_t{1} << nodes);
       ++cut_set) {
    const auto on_source_side = [&](std::size_t node) {
      return cut_set >> node & 1U;
    };
    if (!on_source_side(0) || on_source_side(1)) {
      continue;
    }
    std::int64_t cut = 0;
    for (const auto& edge : edges) {
      cut += on_source_side(edge.from) && !on_source_side(edge.to)
                 ? edge.capacity
                 : 0;
    }
    best = std::min(best, cut);
  }
  return best;
}

}  // namespace

// Guards against a flow that is not the maximum, which by the max-flow min-cut
// theorem equals the minimum cut, and against nodes that lose or create flow.
TEST_CASE("The flow equals the minimum cut and is conserved", "[max_flow]") {
  CHECK(rc::check([] {
    const auto nodes = *rc::gen::inRange<std::size_t>(2, 9);
    std::vector<TestEdge> edges(*rc::gen::inRange<std::size_t>(0, 24));
    MaxFlow flow(nodes);
    for (auto& edge : edges) {
      edge = {*rc::gen::inRange<std::size_t>(0, nodes),
              *rc::gen::inRange<std::size_t>(0, nodes),
              *rc::gen::inRange<std::int64_t>(0, 20)};
      flow.AddEdge(edge.from, edge.to, edge.capacity);
    }
    const auto total = flow.Solve(0, 1);
    RC_ASSERT(total == MinCut(nodes, edges));
    std::vector<std::int64_t> balance(nodes);
    for (std::size_t i = 0; i < edges.size(); ++i) {
      RC_ASSERT(flow.FlowOn(i) >= 0);
      RC_ASSERT(flow.FlowOn(i) <= edges[i].capacity);
      balance[edges[i].from] -= flow.FlowOn(i);
      balance[edges[i].to] += flow.FlowOn(i);
    }
    RC_ASSERT(balance[1] == total);
    for (std::size_t node = 2; node < nodes; ++node) {
      RC_ASSERT(balance[node] == 0);
    }
  }));
}

// Guards against a throughput bound that changes when engines are grouped, and
// against entry hops whose flows do not add up to the bound.
TEST_CASE("The pipeline bound equals the minimum cut of single engines",
          "[max_flow]") {
  CHECK(rc::check([] {
    constexpr std::uint32_t layers = 4;
    constexpr double bytes = 1000;
    const std::vector<qp::AcceleratorKind> kinds{{"fast", 0, 40},
                                                 {"slow", 0, 8}};
    LinkMap links;
    links.Set("a", "a", {qp::Duration{}, 6 * bytes});
    links.Set("a", "b", {qp::Duration{}, 2 * bytes});
    links.Set("b", "b", {qp::Duration{}, 50 * bytes});
    qp::ModelSpec model;
    model.layers = layers;
    model.activation_bytes = static_cast<std::uint64_t>(bytes);

    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    std::vector<Backend> engines(count);
    std::vector<std::size_t> usable;
    std::vector<TestEdge> edges;
    const auto in = [](std::size_t i) { return 2 + 2 * i; };
    constexpr std::int64_t unbounded = 1000000000;
    for (std::size_t i = 0; i < count; ++i) {
      auto& engine = engines[i];
      engine.kind = *rc::gen::element<std::string>("fast", "slow");
      engine.availability_zone = *rc::gen::element<std::string>("a", "b");
      engine.first_layer = *rc::gen::element<std::uint32_t>(0, 1, 2);
      engine.last_layer =
          *rc::gen::inRange<std::uint32_t>(engine.first_layer, layers);
      usable.push_back(i);
      const auto held = engine.last_layer - engine.first_layer + 1;
      const double rate = (engine.kind == "fast" ? 40.0 : 8.0) / held;
      edges.push_back({in(i), in(i) + 1, std::llround(rate * 1000)});
      if (engine.first_layer == 0) {
        edges.push_back({0, in(i), unbounded});
      }
      if (engine.last_layer + 1 == layers) {
        edges.push_back({in(i) + 1, 1, unbounded});
      }
    }
    for (std::size_t i = 0; i < count; ++i) {
      for (std::size_t j = 0; j < count; ++j) {
        const auto layer = engines[i].last_layer + 1;
        if (layer < layers && engines[j].first_layer <= layer &&
            layer <= engines[j].last_layer) {
          const auto link = links.Between({"", engines[i].availability_zone},
                                          {"", engines[j].availability_zone});
          edges.push_back({in(i) + 1, in(j),
                           std::llround(link.bytes_per_second / bytes * 1000)});
        }
      }
    }
    const auto plan =
        qp::policy::PlanPipeline(engines, usable, {model, kinds, links});
    const auto cut = static_cast<double>(MinCut(2 + 2 * count, edges)) / 1000;
    // Rounding to thousandths differs for each engine and link.
    RC_ASSERT(std::abs(plan.tokens_per_second - cut) < 0.02);
    double entering = 0;
    for (const auto& hop : plan.entries) {
      entering += hop.tokens_per_second;
    }
    RC_ASSERT(std::abs(entering - plan.tokens_per_second) < 1e-6);
  }));
}

// Guards against a maximum flow that fully loads some engines of a layer range
// and leaves others idle.
TEST_CASE("A range with spare capacity is loaded evenly", "[max_flow]") {
  std::vector<Backend> engines(4);
  std::vector<std::size_t> usable{0, 1, 2, 3};
  const std::vector<qp::AcceleratorKind> kinds{{"k", 0, 100}};
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i].kind = "k";
    engines[i].first_layer = i == 0 ? 0 : 1;
    engines[i].last_layer = engines[i].first_layer;
    engines[i].availability_zone = std::string(1, static_cast<char>('a' + i));
  }
  qp::ModelSpec model;
  model.layers = 2;
  model.activation_bytes = 1;
  const LinkMap links;
  const auto plan =
      qp::policy::PlanPipeline(engines, usable, {model, kinds, links});
  CHECK(plan.tokens_per_second == Approx(100));
  REQUIRE(plan.next[0].size() == 3);
  for (const auto& hop : plan.next[0]) {
    CHECK(hop.tokens_per_second == Approx(100.0 / 3).margin(2));
  }
}

// Guards against chains whose links alone exceed the inter-token latency
// target, and against a model that is out of service because no faster links
// are left.
TEST_CASE("Slow links are used only where nothing else can flow",
          "[max_flow]") {
  std::vector<Backend> engines(3);
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i].first_layer = engines[i].last_layer = i == 0 ? 0 : 1;
    engines[i].region = i == 1 ? "far" : "near";
  }
  qp::ModelSpec model;
  model.layers = 2;
  const LinkMap links;  // Assumed latency between regions: 30 ms.
  const qp::policy::PipelineQuery query{
      model, {}, links, std::chrono::milliseconds(66)};
  const std::vector<std::size_t> all{0, 1, 2};
  auto plan = qp::policy::PlanPipeline(engines, all, query);
  REQUIRE(plan.next[0].size() == 1);
  CHECK(plan.groups[plan.next[0][0].group].region == "near");
  const std::vector<std::size_t> split{0, 1};
  CHECK(qp::policy::PlanPipeline(engines, split, query).tokens_per_second > 0);
}
