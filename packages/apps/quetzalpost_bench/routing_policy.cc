#include "routing_policy.h"

namespace qp::bench {

std::optional<policy::Chain> StageByStagePolicy::Choose(
    const BackendsView& view, const policy::ChainQuery& query, TimePoint) {
  policy::Chain chain;
  std::uint32_t layer = 0;
  while (layer < query.model->layers) {
    std::vector<const Backend*> candidates;
    for (const auto& engine : view.backends) {
      if (engine.model == query.model->name && engine.first_layer <= layer &&
          layer <= engine.last_layer) {
        candidates.push_back(&engine);
      }
    }
    if (candidates.empty()) {
      return std::nullopt;
    }
    const Backend& engine = *candidates[this->Pick(candidates, layer)];
    chain.stages.push_back(
        {engine.name, engine.address, layer, engine.last_layer, {}});
    layer = engine.last_layer + 1;
  }
  return chain;
}

std::size_t RandomPolicy::Pick(const std::vector<const Backend*>& candidates,
                               std::uint32_t) {
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  return draw(this->generator);
}

std::size_t RoundRobinPolicy::Pick(
    const std::vector<const Backend*>& candidates, std::uint32_t layer) {
  const auto turn = this->turns.emplace(layer, this->start).first;
  return turn->second++ % candidates.size();
}

std::size_t LeastReportedPolicy::Pick(
    const std::vector<const Backend*>& candidates, std::uint32_t) {
  const auto load = [](const Backend& engine) {
    return static_cast<double>(engine.running + engine.queued) / engine.slots;
  };
  std::size_t least = 0;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    if (load(*candidates[i]) < load(*candidates[least])) {
      least = i;
    }
  }
  return least;
}

std::optional<policy::Chain> ChainRouterPolicy::Choose(
    const BackendsView& view, const policy::ChainQuery& query, TimePoint now) {
  return this->router.Choose(view, query, now);
}

void ChainRouterPolicy::OnStarted(const policy::Chain& chain, TimePoint now) {
  this->router.OnStarted(chain, now);
}

void ChainRouterPolicy::OnFinished(const policy::Chain& chain,
                                   Duration between_tokens, TimePoint now) {
  this->router.OnFinished(chain, now);
  this->router.OnObserved(chain, between_tokens);
}

std::vector<std::string_view> PolicyNames() {
  return {"chain_router", "random", "round_robin", "least_reported"};
}

std::unique_ptr<RoutingPolicy> MakePolicy(std::string_view name,
                                          std::uint64_t seed) {
  if (name == "chain_router") {
    return std::make_unique<ChainRouterPolicy>(seed);
  }
  if (name == "random") {
    return std::make_unique<RandomPolicy>(seed);
  }
  if (name == "round_robin") {
    return std::make_unique<RoundRobinPolicy>(seed);
  }
  if (name == "least_reported") {
    return std::make_unique<LeastReportedPolicy>();
  }
  return nullptr;
}

}  // namespace qp::bench
