#include "policy/chain_router.h"

#include <algorithm>
#include <limits>
#include <map>
#include <random>

namespace qp::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Assumed time of one layer for one token until an engine is observed.
constexpr Seconds kUnknownLayerTime{0.0005};

struct Candidate {
  const Backend* engine = nullptr;
  Seconds layer_time{};
};

/// Cheapest way to reach a layer boundary.
struct Reached {
  double cost = std::numeric_limits<double>::infinity();
  std::uint32_t from = 0;
  const Candidate* by = nullptr;
};

}  // namespace

struct ChainRouter::State {
  std::mt19937_64 generator;
  std::map<std::string, std::uint32_t, std::less<>> in_flight;
  std::map<std::string, Seconds, std::less<>> observed;

  double Load(const Backend& engine) const {
    const auto own = this->in_flight.find(engine.name);
    const std::uint32_t streams =
        own == this->in_flight.end() ? 0 : own->second;
    return (static_cast<double>(engine.running) + engine.queued + streams) /
           std::max<std::uint32_t>(engine.slots, 1);
  }
};

ChainRouter::ChainRouter(std::uint64_t seed)
    : state(std::make_unique<State>()) {
  this->state->generator.seed(seed);
}

ChainRouter::~ChainRouter() = default;

std::optional<Chain> ChainRouter::Choose(const BackendsView& backends,
                                         const ChainQuery& query, TimePoint) {
  if (query.model == nullptr || query.model->layers == 0) {
    return std::nullopt;
  }
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<const Backend*>>
      replicas;
  for (const auto& backend : backends.backends) {
    const bool usable =
        backend.role == BackendRole::kEngine &&
        backend.model == query.model->name && backend.IsRoutable() &&
        backend.first_layer <= backend.last_layer &&
        backend.last_layer < query.model->layers &&
        std::find(query.excluded.begin(), query.excluded.end(), backend.name) ==
            query.excluded.end();
    if (usable) {
      replicas[{backend.first_layer, backend.last_layer}].push_back(&backend);
    }
  }
  std::vector<Candidate> candidates;
  for (auto& [range, engines] : replicas) {
    std::shuffle(engines.begin(), engines.end(), this->state->generator);
    engines.resize(std::min<std::size_t>(engines.size(), 2));
    for (const auto* engine : engines) {
      const auto seen = this->state->observed.find(engine->name);
      const Seconds base = seen == this->state->observed.end()
                               ? kUnknownLayerTime
                               : seen->second;
      candidates.push_back({engine, base * (1 + this->state->Load(*engine))});
    }
  }

  const std::uint32_t layers = query.model->layers;
  std::vector<Reached> reached(layers + 1);
  reached[0].cost = 0;
  for (std::uint32_t layer = 0; layer < layers; ++layer) {
    for (const auto& candidate : candidates) {
      if (candidate.engine->first_layer > layer ||
          candidate.engine->last_layer < layer) {
        continue;
      }
      for (std::uint32_t end = layer + 1;
           end <= candidate.engine->last_layer + 1; ++end) {
        const double cost = reached[layer].cost +
                            candidate.layer_time.count() * (end - layer) +
                            kUnknownLayerTime.count();
        if (cost < reached[end].cost) {
          reached[end] = {cost, layer, &candidate};
        }
      }
    }
  }
  if (reached[layers].by == nullptr) {
    return std::nullopt;
  }
  Chain chain;
  for (std::uint32_t end = layers; end > 0; end = reached[end].from) {
    const Backend& engine = *reached[end].by->engine;
    chain.stages.push_back(
        {engine.name, engine.address, reached[end].from, end - 1});
  }
  std::reverse(chain.stages.begin(), chain.stages.end());
  // An engine keeps one KV cache per request, so it must not appear twice; its
  // range is contiguous, so it can run what lies between its two stages.
  for (std::size_t i = 0; i < chain.stages.size(); ++i) {
    for (std::size_t j = chain.stages.size() - 1; j > i; --j) {
      if (chain.stages[i].engine == chain.stages[j].engine) {
        chain.stages[i].last_layer = chain.stages[j].last_layer;
        chain.stages.erase(chain.stages.begin() + i + 1,
                           chain.stages.begin() + j + 1);
        break;
      }
    }
  }
  const auto time =
      std::chrono::duration_cast<Duration>(Seconds(reached[layers].cost));
  chain.predicted_between_tokens = time;
  chain.predicted_first_token = time;
  return chain;
}

void ChainRouter::OnStarted(const Chain& chain, TimePoint) {
  for (const auto& stage : chain.stages) {
    ++this->state->in_flight[stage.engine];
  }
}

void ChainRouter::OnFinished(const Chain& chain, TimePoint) {
  for (const auto& stage : chain.stages) {
    const auto found = this->state->in_flight.find(stage.engine);
    if (found != this->state->in_flight.end() && --found->second == 0) {
      this->state->in_flight.erase(found);
    }
  }
}

void ChainRouter::OnObserved(std::string_view, Duration) {}

}  // namespace qp::policy
