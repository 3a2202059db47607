#include "fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "policy/pipeline_plan.h"

namespace qp::bench {

namespace {

constexpr std::uint64_t kGigabyte = 1000000000;

struct Site {
  const char* kind;
  const char* region;
  const char* zone;
};

/// Each kind stands in one or two zones, so that chains cross slow links.
constexpr std::array<Site, 8> kSites{{{"a", "north", "n1"},
                                      {"b", "north", "n1"},
                                      {"b", "north", "n2"},
                                      {"c", "north", "n2"},
                                      {"c", "south", "s1"},
                                      {"d", "south", "s1"},
                                      {"a", "north", "n2"},
                                      {"d", "north", "n1"}}};

}  // namespace

policy::PlacementInput Fleet::Input() const {
  return {this->view.backends, this->models, this->kinds, this->demands, {}};
}

Fleet MakeFleet(std::size_t size) {
  Fleet fleet;
  fleet.models = {{"model", 80, 2 * kGigabyte, 16384}};
  fleet.kinds = {{"a", 80 * kGigabyte, 80000},
                 {"b", 48 * kGigabyte, 30000},
                 {"c", 24 * kGigabyte, 12000},
                 {"d", 16 * kGigabyte, 4000}};
  fleet.demands = {{"model", 1e6, kBetweenTokens}};
  for (std::size_t i = 0; i < size; ++i) {
    const Site& site = kSites[i % kSites.size()];
    Backend engine;
    engine.name = "engine-" + std::to_string(10000 + i);
    engine.kind = site.kind;
    engine.region = site.region;
    engine.availability_zone = site.zone;
    fleet.view.backends.push_back(std::move(engine));
  }
  return fleet;
}

double Place(Fleet& fleet, const policy::PlacementPolicy& policy) {
  const auto assignments = policy.Assign(fleet.Input());
  for (const auto& item : assignments) {
    const auto engine = std::find_if(
        fleet.view.backends.begin(), fleet.view.backends.end(),
        [&](const auto& other) { return other.name == item.engine; });
    const auto kind = std::find_if(
        fleet.kinds.begin(), fleet.kinds.end(),
        [&](const auto& other) { return other.name == engine->kind; });
    engine->model = item.model;
    engine->first_layer = item.first_layer;
    engine->last_layer = item.last_layer;
    const double tokens_per_second = kind->layer_tokens_per_second /
                                     (item.last_layer - item.first_layer + 1);
    engine->slots = static_cast<std::uint32_t>(
        std::ceil(tokens_per_second *
                  std::chrono::duration<double>(kBetweenTokens).count()));
  }
  return policy::FlowBound(fleet.Input(), fleet.model(), assignments);
}

double BoundAtAnyLatency(const Fleet& fleet) {
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < fleet.view.backends.size(); ++i) {
    if (!fleet.view.backends[i].model.empty()) {
      usable.push_back(i);
    }
  }
  const policy::LinkMap links;
  return policy::PipelineBound(fleet.view.backends, usable,
                               {fleet.model(), fleet.kinds, links});
}

}  // namespace qp::bench
